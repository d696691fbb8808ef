//! The oracle's choice of messages.

use std::collections::HashSet;

use rig::audit::{Log, Sent};
use rig::oracle::served;
use rig::scenario::Scenario;

#[test]
fn the_worthiest_go_first_and_what_is_late_goes_never() {
    let text = "about = \"x\"\nrelays = 1\nseconds = 3\n[load]\nper_s = 5\ntime_left_ms = 1000\n[[partner]]\nper_s = 1\n";
    let scenario = Scenario::read(text).expect("it makes sense");
    let mut log = Log::default();
    for (id, once, at_s) in
        [("a-0", false, 0.1), ("b-0", true, 0.2), ("c-0", false, 0.3), ("d-0", false, 1.4)]
    {
        let sent = Sent { relay: 0, partner: 0, once, at_s, due_s: at_s + 1.0, status: 202 };
        log.sent.insert(id.into(), sent);
    }
    assert_eq!(served(&scenario, &log), HashSet::from(["b-0", "d-0"]));
}
