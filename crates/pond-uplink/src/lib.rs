//! Link to the leading control replica, which is found through any replica.
//!
//! A process starts from a few addresses. Each replica names the leader and the addresses of all
//! replicas. [`Search`] decides how the leader is found, and found again after a loss.

mod search;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Config, Event, EventKind, LinkKey, Sender, dial};
use pond_log::{Logger, event};
use pond_proto::Millis;
use pond_proto::fleet::LeaderInfo;
use pond_proto::wire::Body;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

pub use search::{Output, Search};

/// Time between heartbeats on a link to control. Silence is noticed within a second.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which a link to control counts as lost: three heartbeats.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// A notification for the owner of the link.
#[derive(Debug)]
pub enum Notification {
    /// A link to the leader was established, or the leader sent new information about itself.
    Leader {
        /// The leader's term.
        term: u64,
        /// Whether the leader has a configuration.
        configured: bool,
        /// Whether this link to a leader is new. The leader then knows nothing about this process.
        new: bool,
    },
    /// There is no link to a leader any more.
    Lost,
    /// A message from the leader.
    Frame(Body),
}

/// The link of a process to the leading control replica.
pub struct Uplink {
    search: Search,
    /// Links that are open or being opened.
    links: BTreeMap<LinkKey, Link>,
    terms: Arc<Config>,
    events: mpsc::Sender<Event>,
    log: Logger,
}

/// A link to one replica.
struct Link {
    task: JoinHandle<()>,
    sender: Option<Sender>,
}

impl Uplink {
    /// Starts to search for the leader on the current runtime.
    pub fn start(
        addresses: Vec<String>,
        terms: Config,
        events: mpsc::Sender<Event>,
        log: Logger,
        now: Millis,
    ) -> Uplink {
        let terms = Arc::new(terms.with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT));
        let search = Search::new(addresses, terms.hello.incarnation, now);
        let mut uplink = Uplink { search, links: BTreeMap::new(), terms, events, log };
        uplink.execute();
        uplink
    }

    /// Returns whether there is a link to a leader.
    pub fn has_leader(&self) -> bool {
        self.search.leader().is_some()
    }

    /// Adds addresses of replicas, such as those in changed settings.
    pub fn add_addresses(&mut self, addresses: &[String]) {
        self.search.add_addresses(addresses);
    }

    /// Sends a message to the leader. Returns false if there is no leader or its link is full.
    pub fn send(&self, body: Body) -> bool {
        let link = self.search.leader().and_then(|leader| self.links.get(&leader));
        link.and_then(|link| link.sender.as_ref()).is_some_and(|sender| sender.send(body))
    }

    /// Handles an event of a link.
    pub fn event(&mut self, now: Millis, event: Event) -> Option<Notification> {
        let leader = self.search.leader();
        let link = event.link;
        if !self.links.contains_key(&link) {
            return None;
        }
        let notification = match event.kind {
            EventKind::Up { sender, .. } => {
                self.search.link_up(now, link);
                if let Some(link) = self.links.get_mut(&link) {
                    link.sender = Some(sender);
                }
                None
            }
            EventKind::Down(error) => self.handle_down(now, link, &error),
            EventKind::Frame(Body::LeaderInfo(lead)) => self.handle_lead(now, link, &lead),
            EventKind::Frame(body) => (leader == Some(link)).then_some(Notification::Frame(body)),
        };
        self.execute();
        notification
    }

    /// Continues the search if it is due.
    pub fn tick(&mut self, now: Millis) {
        self.search.tick(now);
        self.execute();
    }

    /// Returns when [`Uplink::tick`] is due.
    pub fn due(&self) -> Option<Millis> {
        self.search.due()
    }

    fn handle_down(
        &mut self,
        now: Millis,
        link: LinkKey,
        error: &pond_link::Error,
    ) -> Option<Notification> {
        let was_leader = self.search.leader() == Some(link);
        let address = self.search.address(link).to_owned();
        let opened = self.links.get(&link).is_some_and(|link| link.sender.is_some());
        if opened {
            event!(self.log, LINK_DOWN, "peer" => address.clone(), "why" => error.to_string());
        }
        self.search.link_down(now, link);
        was_leader.then(|| self.lost(&address))
    }

    fn handle_lead(
        &mut self,
        now: Millis,
        link: LinkKey,
        lead: &LeaderInfo,
    ) -> Option<Notification> {
        let before = self.search.leader();
        self.search.handle_lead(now, link, lead);
        let after = self.search.leader();
        if after == Some(link) {
            let new = before != after;
            if new {
                event!(self.log, LEADER_FOUND, "leader" => self.search.address(link),
                    "term" => lead.term);
            }
            return Some(Notification::Leader {
                term: lead.term,
                configured: lead.configured,
                new,
            });
        }
        (before == Some(link)).then(|| self.lost(self.search.address(link)))
    }

    fn lost(&self, address: &str) -> Notification {
        event!(self.log, LEADER_LOST, "leader" => address.to_owned());
        Notification::Lost
    }

    fn execute(&mut self) {
        for output in self.search.outputs() {
            match output {
                Output::Dial { link, address } => self.dial(link, &address),
                Output::Close(link) => {
                    if let Some(link) = self.links.remove(&link) {
                        link.task.abort();
                    }
                }
            }
        }
    }

    fn dial(&mut self, link: LinkKey, address: &str) {
        let Ok(parsed) = address.parse() else {
            event!(self.log, LINK_REFUSED, "why" => format!("invalid address: {address}"));
            return;
        };
        let task = tokio::spawn(dial(parsed, link, self.terms.clone(), self.events.clone()));
        self.links.insert(link, Link { task, sender: None });
    }
}
