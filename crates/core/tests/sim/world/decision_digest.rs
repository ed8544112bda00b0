//! A digest over everything that the nodes send, write and answer.
//!
//! Outputs are hashed in their encoded form (JSON bodies, bitcode messages, keys and values), never as
//! `Debug` text, so renaming a type or a field doesn't change the digest, and a changed decision does.

use super::World;
use rudderreel_core::{CloudCall, Output, StartRevocation, StoreCall};
use serde::Serialize;
use std::hash::{DefaultHasher, Hasher};

/// Digest of the outputs of all nodes, in the order in which they were produced.
#[derive(Default)]
pub(super) struct DecisionDigest {
    hasher: DefaultHasher,
    outputs: u64,
}

impl DecisionDigest {
    /// Adds an output of a node, with the time at which it was produced.
    pub(super) fn record(&mut self, at_ms: u64, node: usize, output: &Output) {
        self.outputs += 1;
        self.number(at_ms);
        self.number(node as u64);
        self.output(output);
    }

    fn output(&mut self, output: &Output) {
        match output {
            Output::Answer {
                req,
                status,
                body,
                retry_after,
            } => {
                self.kind("answer", req.0);
                self.number(u64::from(*status));
                self.text(body);
                self.number(retry_after.map_or(u64::MAX, u64::from));
            }
            Output::AnswerHeartbeat(req, reply) => {
                self.kind("heartbeat reply", req.0);
                self.bytes(&bitcode::encode(reply));
            }
            Output::AnswerForwardedReports(req, reply) => {
                self.kind("reports reply", req.0);
                self.bytes(&bitcode::encode(reply));
            }
            Output::AnswerReplicateCancellations(req, reply) => {
                self.kind("announcement reply", req.0);
                self.bytes(&bitcode::encode(reply));
            }
            Output::ReplicateCancellations(peer, cancellations) => {
                self.kind("announcement", 0);
                self.text(peer.as_str());
                self.bytes(&bitcode::encode(cancellations));
            }
            Output::ForwardReports {
                peer,
                call,
                reports,
            } => {
                self.kind("reports", call.0);
                self.text(peer.as_str());
                self.bytes(&bitcode::encode(reports));
            }
            Output::Store(call, request) => {
                self.kind("state", call.0);
                self.store_call(request);
            }
            Output::Watch(revision) => self.kind("watch", revision.0),
            Output::Cloud(call, request) => {
                self.kind("cloud", call.0);
                self.cloud_call(request);
            }
            Output::Direct {
                machine,
                addr,
                body,
                ..
            } => {
                self.kind("direct", 0);
                self.text(machine.as_str());
                self.text(addr);
                self.json(body);
            }
            Output::RevokeStarts(revocation) => match revocation {
                StartRevocation::OfJob(id) => {
                    self.kind("revoke starts", 0);
                    self.text(id.as_str());
                }
                StartRevocation::All => self.kind("revoke all starts", 0),
            },
            Output::Heartbeat(heartbeat) => {
                self.kind("heartbeat", 0);
                self.bytes(&bitcode::encode(heartbeat));
            }
            Output::Forward {
                peer,
                req,
                request: forward,
            } => {
                self.kind("forward", req.0);
                self.text(peer.as_str());
                self.bytes(&bitcode::encode(forward));
            }
        }
    }

    fn store_call(&mut self, call: &StoreCall) {
        match call {
            StoreCall::Get(key) => {
                self.kind("get", 0);
                self.text(key);
            }
            StoreCall::List(prefix, after) => {
                self.kind("list", 0);
                self.text(prefix);
                self.json(after);
            }
            StoreCall::Changes(prefix, after) => {
                self.kind("changes", after.0);
                self.text(prefix);
            }
            StoreCall::Commit(transaction) => {
                self.kind("commit", 0);
                self.json(transaction);
            }
            StoreCall::AcquireLease(ttl_ms) => self.kind("new lease", *ttl_ms),
            StoreCall::RenewLease(lease) => self.kind("renew", lease.0),
            StoreCall::EndLease(lease) => self.kind("end lease", lease.0),
        }
    }

    fn cloud_call(&mut self, call: &CloudCall) {
        match call {
            CloudCall::Catalog => self.kind("catalog", 0),
            CloudCall::ScaleOut(request) => {
                self.kind("rent", 0);
                self.json(request);
            }
            CloudCall::ScaleIn(names) => {
                self.kind("return", 0);
                self.json(names);
            }
            CloudCall::List(after) => {
                self.kind("list machines", 0);
                self.json(after);
            }
        }
    }

    fn kind(&mut self, kind: &str, id: u64) {
        self.text(kind);
        self.number(id);
    }

    fn json<T: Serialize>(&mut self, value: &T) {
        self.text(&serde_json::to_string(value).expect("JSON"));
    }

    fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.write(bytes);
    }

    fn number(&mut self, number: u64) {
        self.hasher.write_u64(number);
    }
}

impl World {
    /// Returns the digest of what the nodes have sent, written and answered so far, and the number of outputs.
    pub fn decision_digest(&self) -> String {
        let digest = &self.decisions;
        format!("{:016x} {}", digest.hasher.finish(), digest.outputs)
    }
}
