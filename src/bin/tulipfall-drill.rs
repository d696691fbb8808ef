//! Runs instances of the decision module for the simulator: reads its text protocol from standard input, and writes the
//! actions to standard output.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use tulipfall::interface::{Event, ListUpdate, Micros};
use tulipfall::rules::Relay;
use tulipfall::wire::{self, Fields, Names, RawEntry, WireError};

/// One instance of the decision module, with the names of its settings and messages.
struct Instance {
    relay: Relay,
    names: Names,
}

/// All instances in this process, and the lists sent for them.
#[derive(Default)]
struct Host {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<RawEntry>>,
    /// Number of the list to which the next `ENTRY` lines belong.
    current_list: u64,
    reply: String,
}

impl Host {
    fn open(&mut self, instance_id: u64, seed: u64, text: &str) {
        let instance = wire::settings(text).map_err(|e| e.to_string()).and_then(|(settings, names)| {
            Relay::new(settings, seed).map(|relay| Instance { relay, names }).map_err(|e| e.to_string())
        });
        match instance {
            Ok(instance) => {
                self.instances.insert(instance_id, instance);
            }
            Err(message) => {
                eprintln!("tulipfall-drill: instance {instance_id}: {message}");
                self.reply.push_str(&format!("BROKEN {instance_id} {message}\n"));
            }
        }
    }

    fn handle_line(&mut self, text: &str) -> Result<(), WireError> {
        let mut fields = Fields::new(text);
        match fields.line() {
            "FRAME" => self.now = fields.number("clock")?,
            "LIST" => {
                self.current_list = fields.number("Buffer")?;
                self.lists.insert(self.current_list, Vec::new());
            }
            "ENTRY" => {
                let entry = RawEntry::parse(&mut fields)?;
                self.lists.entry(self.current_list).or_default().push(entry);
            }
            "OPEN_INSTANCE" => {
                let instance_id = fields.number("Who")?;
                let seed = fields.number("InitSeed")?;
                self.open(instance_id, seed, text.splitn(4, ' ').nth(3).unwrap_or_default());
            }
            "HALT" => {
                self.instances.remove(&fields.number("Who")?);
            }
            other => {
                let instance_id = fields.number("Who")?;
                let Some(instance) = self.instances.get_mut(&instance_id) else { return Ok(()) };
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
                    instance.names.action(instance_id, action, &mut self.reply);
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
            && let Err(error) = host.handle_line(line)
        {
            eprintln!("tulipfall-drill: {error}");
        }
    }
}
