//! Replays responses of several gates over links that send in order of arrival, in steps of 1 ms.
//!
//! The gates of downloads are chosen by their backlogs at that moment, or by entries, which know them
//! from the reports that came with earlier responses.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use yuccarack_policy::{
    link_pacing::{LinkPacer, LongRequest, ResponseKey},
    placement::{AttemptHistory, ExpectedRequest, GateKey, GateReply, LinkReport, Placement},
};

/// Bytes of a response's head.
const HEAD_BYTES: u64 = 400;

/// Number of entries, each of which knows only what came with its own responses.
const ENTRIES: usize = 90;

/// Mean time that a target needs for a download.
const SERVICE_TIME: Duration = Duration::from_millis(61);

/// Load of all links together.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of links, each of one gate.
    pub links: usize,
    /// Rate of each link.
    pub link_kbit_per_s: u32,
    /// Downloads per second outside of the peak.
    pub downloads_per_s: f64,
    /// Mean size of a download.
    pub download_mean_bytes: f64,
    /// Time within which a download counts as on time.
    pub download_soft_deadline: Duration,
    /// Time after which its caller has left.
    pub download_deadline: Duration,
    /// Factor on the downloads in the second quarter of the time.
    pub peak: f64,
    /// Short responses per second.
    pub short_per_s: f64,
    /// Size of a short response.
    pub short_bytes: u64,
    /// Duration of the load.
    pub duration: Duration,
}

/// What became of the responses.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Bytes of all downloads outside of the peak.
    pub usual_bytes: f64,
    /// Bytes of all downloads in the peak.
    pub peak_bytes: f64,
    /// Bytes of the downloads that were complete before their deadline.
    pub download_bytes_in_time: f64,
    /// Number of all downloads.
    pub downloads: usize,
    /// Number of downloads complete before their soft deadline.
    pub downloads_on_time: usize,
    short_times: Vec<Duration>,
}

impl Totals {
    /// Returns the share of short responses that left within `limit`.
    pub fn short_share_within(&self, limit: Duration) -> f64 {
        let within = self.short_times.iter().filter(|time| **time <= limit).count();
        within as f64 / self.short_times.len() as f64
    }
}

/// A run of one load.
pub struct Replay {
    load: Load,
    rng: SmallRng,
    start: Instant,
    links: Vec<Link>,
    entries: Vec<Entry>,
    choice: Choice,
    totals: Totals,
}

/// How the gates of downloads are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// By the backlogs of a few gates at that moment, which no entry knows.
    Informed,
    /// By entries with reports of the backlogs. Gates take what they may queue.
    Reported,
    /// Likewise, and the gates refuse what may go elsewhere while they have a backlog.
    Refused,
}

struct Entry {
    placement: Placement,
    /// Gates in the order of their links.
    gates: Vec<GateKey>,
}

struct Link {
    pacer: LinkPacer,
    /// What the kernel has to send.
    sending: VecDeque<Message>,
    sent_of_first: f64,
    downloads: Vec<Download>,
}

struct Message {
    bytes: u64,
    content: Content,
}

enum Content {
    Short(Instant, usize),
    Piece,
    LastPiece(Download),
}

#[derive(Clone, Copy)]
struct Download {
    key: ResponseKey,
    bytes: u64,
    unsent: u64,
    soft_deadline: Instant,
    deadline: Instant,
    entry: usize,
}

impl Entry {
    fn new(links: usize) -> Self {
        let mut placement = Placement::new();
        let gates = (0..links).map(|_| placement.add(true)).collect();
        Self { placement, gates }
    }
}

impl Replay {
    /// Prepares a run.
    pub fn new(load: Load, seed: u64, choice: Choice) -> Self {
        let links = (0..load.links).map(|_| Link {
            pacer: LinkPacer::new(load.link_kbit_per_s),
            sending: VecDeque::new(),
            sent_of_first: 0.0,
            downloads: Vec::new(),
        });
        Self {
            load,
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            links: links.collect(),
            entries: (0..ENTRIES).map(|_| Entry::new(load.links)).collect(),
            choice,
            totals: Totals::default(),
        }
    }

    /// Runs the load and returns its totals.
    pub fn run(mut self) -> Totals {
        let steps = self.load.duration.as_millis() as u64;
        for step in 0..steps {
            let now = self.start + Duration::from_millis(step);
            let is_peak = step >= steps / 4 && step < steps / 2;
            let rate = self.load.downloads_per_s * if is_peak { self.load.peak } else { 1.0 };
            (0..self.arrivals(rate)).for_each(|_| self.add_download(now, is_peak));
            (0..self.arrivals(self.load.short_per_s)).for_each(|_| self.add_short(now));
            let bytes_per_ms = f64::from(self.load.link_kbit_per_s) / 8.0;
            for number in 0..self.links.len() {
                let link = &mut self.links[number];
                link.send_pieces(now);
                let end = now + Duration::from_millis(1);
                let receivers = link.advance(end, bytes_per_ms, &mut self.totals);
                receivers.into_iter().for_each(|entry| self.report(end, number, entry));
            }
        }
        self.totals
    }

    fn report(&mut self, now: Instant, number: usize, entry: usize) {
        let Entry { placement, gates } = &mut self.entries[entry];
        let backlog = self.links[number].pacer.backlog(now);
        let report = LinkReport { backlog, kbit_per_s: Some(self.load.link_kbit_per_s) };
        placement.record_link(now, gates[number], Some(report));
    }

    /// Draws the number of arrivals in 1 ms.
    fn arrivals(&mut self, per_s: f64) -> usize {
        let tries = 20;
        (0..tries).filter(|_| self.rng.random_bool(per_s / 1_000.0 / f64::from(tries))).count()
    }

    fn add_short(&mut self, now: Instant) {
        let bytes = self.load.short_bytes + HEAD_BYTES;
        let number = self.rng.random_range(0..self.links.len());
        let entry = self.rng.random_range(0..ENTRIES);
        let link = &mut self.links[number];
        link.pacer.charge(now, bytes);
        link.sending.push_back(Message { bytes, content: Content::Short(now, entry) });
    }

    fn add_download(&mut self, now: Instant, is_peak: bool) {
        // Sizes from 20 kB to 540 kB, most of them below the mean.
        let exponential = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        let extra = (self.load.download_mean_bytes - 20_000.0) * exponential;
        let bytes = (20_000.0 + extra).min(540_000.0) as u64;
        match is_peak {
            true => self.totals.peak_bytes += bytes as f64,
            false => self.totals.usual_bytes += bytes as f64,
        }
        self.totals.downloads += 1;
        let (soft_deadline, deadline) =
            (now + self.load.download_soft_deadline, now + self.load.download_deadline);
        let usual = self.load.download_mean_bytes as u64;
        let entry = self.rng.random_range(0..ENTRIES);
        let Some(number) = self.choose_link(now, entry, deadline) else { return };
        let link = &mut self.links[number];
        let request = LongRequest { deadline, may_wait: true, bytes: usual };
        if link.pacer.admit(now, request).is_err() {
            return;
        }
        let key = link.pacer.reserve(soft_deadline, bytes);
        link.pacer.begin(key, bytes);
        link.downloads.push(Download { key, bytes, unsent: bytes, soft_deadline, deadline, entry });
    }

    fn choose_link(&mut self, now: Instant, entry: usize, deadline: Instant) -> Option<usize> {
        if self.choice == Choice::Informed {
            let drawn = [0; 4].map(|_| self.rng.random_range(0..self.links.len()));
            return drawn.into_iter().min_by_key(|link| self.links[*link].pacer.backlog(now));
        }
        let bytes = self.load.download_mean_bytes as u64;
        let request =
            ExpectedRequest { mean_service_time: SERVICE_TIME, response_bytes: Some(bytes) };
        let mut history = AttemptHistory::default();
        loop {
            let Entry { placement, gates } = &mut self.entries[entry];
            let chosen = placement.choose(now, &mut self.rng, &history, request)?;
            placement.record_expected_response(chosen.gate, bytes);
            let number = gates.iter().position(|gate| *gate == chosen.gate)?;
            let may_wait = chosen.may_wait || self.choice == Choice::Reported;
            let request = LongRequest { deadline, may_wait, bytes };
            if may_wait || self.links[number].pacer.admit(now, request).is_ok() {
                return Some(number);
            }
            history.record(chosen.gate, GateReply::NoFreeSlot);
            self.report(now, number, entry);
        }
    }
}

impl Link {
    fn send_pieces(&mut self, now: Instant) {
        for download in self.downloads.extract_if(.., |download| download.deadline < now) {
            self.pacer.remove(download.key);
        }
        for download in &self.downloads {
            self.pacer.request(download.key, download.unsent as usize);
        }
        while let Some(key) = self.pacer.grant(now) {
            let Some(bytes) = self.pacer.take(key) else { return };
            let Some(index) = self.downloads.iter().position(|it| it.key == key) else { return };
            let download = &mut self.downloads[index];
            download.unsent -= bytes as u64;
            let content = if download.unsent == 0 {
                self.pacer.remove(key);
                Content::LastPiece(self.downloads.swap_remove(index))
            } else {
                self.pacer.request(key, download.unsent as usize);
                Content::Piece
            };
            self.sending.push_back(Message { bytes: bytes as u64, content });
        }
    }

    /// Sends what the link carries in 1 ms; returns the entries that received a whole response.
    fn advance(&mut self, now: Instant, bytes_per_ms: f64, totals: &mut Totals) -> Vec<usize> {
        let mut receivers = Vec::new();
        let mut room = bytes_per_ms;
        while let Some(message) = self.sending.front() {
            let missing = message.bytes as f64 - self.sent_of_first;
            if missing > room {
                self.sent_of_first += room;
                return receivers;
            }
            room -= missing;
            self.sent_of_first = 0.0;
            match self.sending.pop_front().map(|message| message.content) {
                Some(Content::Short(since, entry)) => {
                    receivers.push(entry);
                    totals.short_times.push(now - since);
                }
                Some(Content::LastPiece(download)) if now <= download.deadline => {
                    receivers.push(download.entry);
                    totals.download_bytes_in_time += download.bytes as f64;
                    totals.downloads_on_time += usize::from(now <= download.soft_deadline);
                }
                _ => {}
            }
        }
        receivers
    }
}
