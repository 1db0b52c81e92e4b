//! Replays responses of several gates over links that send in order of arrival, in steps of 1 ms.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use yuccarack_policy::link_pacing::{LinkPacer, ResponseKey};

/// Bytes of a response's head.
const HEAD_BYTES: u64 = 400;

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
    totals: Totals,
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
    Short(Instant),
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
}

impl Replay {
    /// Prepares a run.
    pub fn new(load: Load, seed: u64) -> Self {
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
            for link in &mut self.links {
                link.send_pieces(now);
                link.advance(now + Duration::from_millis(1), bytes_per_ms, &mut self.totals);
            }
        }
        self.totals
    }

    /// Draws the number of arrivals in 1 ms.
    fn arrivals(&mut self, per_s: f64) -> usize {
        let tries = 20;
        (0..tries).filter(|_| self.rng.random_bool(per_s / 1_000.0 / f64::from(tries))).count()
    }

    fn add_short(&mut self, now: Instant) {
        let bytes = self.load.short_bytes + HEAD_BYTES;
        let number = self.rng.random_range(0..self.links.len());
        let link = &mut self.links[number];
        link.pacer.charge(now, bytes);
        link.sending.push_back(Message { bytes, content: Content::Short(now) });
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
        // Entries compare the backlog of a few gates.
        let drawn = [0; 4].map(|_| self.rng.random_range(0..self.links.len()));
        let backlog = |number: &usize| self.links[*number].pacer.backlog(now);
        let Some(number) = drawn.into_iter().min_by_key(backlog) else { return };
        let link = &mut self.links[number];
        let usual = self.load.download_mean_bytes as u64;
        if link.pacer.completes_at(now, usual) > deadline {
            return;
        }
        let key = link.pacer.reserve(soft_deadline, bytes);
        link.downloads.push(Download { key, bytes, unsent: bytes, soft_deadline, deadline });
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

    /// Sends what the link carries in 1 ms.
    fn advance(&mut self, now: Instant, bytes_per_ms: f64, totals: &mut Totals) {
        let mut room = bytes_per_ms;
        while let Some(message) = self.sending.front() {
            let missing = message.bytes as f64 - self.sent_of_first;
            if missing > room {
                self.sent_of_first += room;
                return;
            }
            room -= missing;
            self.sent_of_first = 0.0;
            match self.sending.pop_front().map(|message| message.content) {
                Some(Content::Short(since)) => totals.short_times.push(now - since),
                Some(Content::LastPiece(download)) if now <= download.deadline => {
                    totals.download_bytes_in_time += download.bytes as f64;
                    totals.downloads_on_time += usize::from(now <= download.soft_deadline);
                }
                _ => {}
            }
        }
    }
}
