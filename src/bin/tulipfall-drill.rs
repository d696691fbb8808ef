//! Hosts instances of the decision module on the simulator's wire: standard input to standard output.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use tulipfall::interface::{Event, ListUpdate, Micros};
use tulipfall::rules::Relay;
use tulipfall::wire::{self, Fields, Names, RawEntry, WireError};

struct Instance {
    relay: Relay,
    names: Names,
}

#[derive(Default)]
struct Host {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<RawEntry>>,
    /// Number of the list that the coming `ENTRY` lines belong to.
    filling: u64,
    reply: String,
}

impl Host {
    fn open(&mut self, who: u64, seed: u64, text: &str) {
        let opened = wire::settings(text).map_err(|e| e.to_string()).and_then(|(settings, names)| {
            Relay::new(settings, seed).map(|relay| Instance { relay, names }).map_err(|e| e.to_string())
        });
        match opened {
            Ok(instance) => {
                self.instances.insert(who, instance);
            }
            Err(message) => {
                eprintln!("tulipfall-drill: instance {who}: {message}");
                self.reply.push_str(&format!("BROKEN {who} {message}\n"));
            }
        }
    }

    fn line(&mut self, text: &str) -> Result<(), WireError> {
        let mut fields = Fields::new(text);
        match fields.line() {
            "FRAME" => self.now = fields.number("clock")?,
            "LIST" => {
                self.filling = fields.number("Buffer")?;
                self.lists.insert(self.filling, Vec::new());
            }
            "ENTRY" => {
                let entry = RawEntry::parse(&mut fields)?;
                self.lists.entry(self.filling).or_default().push(entry);
            }
            "OPEN_INSTANCE" => {
                let who = fields.number("Who")?;
                let seed = fields.number("InitSeed")?;
                self.open(who, seed, text.splitn(4, ' ').nth(3).unwrap_or_default());
            }
            "HALT" => {
                self.instances.remove(&fields.number("Who")?);
            }
            other => {
                let who = fields.number("Who")?;
                let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
                let event = if other == "FLEET" {
                    let form = fields.text("Form")?;
                    let _version: Option<u64> = fields.maybe("SeqNo")?;
                    let form = match form {
                        "changes" => ListUpdate::Changes,
                        "refused" => ListUpdate::Failed,
                        "all" | "remembered" => ListUpdate::Full,
                        other => {
                            return Err(WireError::Field {
                                line: "FLEET".into(),
                                field: "Form",
                                found: other.into(),
                                expected: "changes, all, remembered or refused",
                            });
                        }
                    };
                    let raw = match form {
                        ListUpdate::Failed => &Vec::new(),
                        _ => self.lists.entry(fields.number("Buffer")?).or_default(),
                    };
                    Some(Event::EndpointList(form, instance.names.entries(raw)?))
                } else {
                    instance.names.event(&mut fields)?
                };
                let mut actions = Vec::new();
                if let Some(event) = event {
                    instance.relay.handle(self.now, event, &mut actions);
                }
                for action in &actions {
                    instance.names.action(who, action, &mut self.reply);
                }
            }
        }
        Ok(())
    }
}

fn main() -> io::Result<()> {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut text = String::new();
    loop {
        text.clear();
        if input.read_line(&mut text)? == 0 {
            return Ok(());
        }
        let line = text.trim_end_matches(['\n', '\r']);
        if line == "OVER_TO_YOU" {
            host.reply.push_str("READY\n");
            output.write_all(host.reply.as_bytes())?;
            output.flush()?;
            host.reply.clear();
        } else if !line.is_empty()
            && let Err(error) = host.line(line)
        {
            eprintln!("tulipfall-drill: {error}");
        }
    }
}
