import * as assert from "uvu/assert";
import {
  beforeEach,
  createChange,
  describe,
  FakeCluster,
  it,
} from "../testing/index.ts";
import { METHODS } from "./messages.ts";
import {
  FRESHNESS_LEASE_MS,
  MAX_BATCH_COUNT,
  MIN_ELECTION_TIMEOUT_MS,
  QUORUM_LOSS_TIMEOUT_MS,
  SNAPSHOT_INTERVAL_COUNT,
} from "./timing.ts";

const VOTERS = ["a", "b", "c"];
const OBSERVER = "d";
const SPARE = "e";
const SETTLE_MS = 4_000;
const NEXT_CHANGE_LIMIT_MS = 3_000;

describe("replica", () => {
  let cluster: FakeCluster;
  let leaderId: string;
  let followers: string[];

  beforeEach(async () => {
    cluster = new FakeCluster({
      seed: 1,
      voterIds: VOTERS,
      observerIds: [OBSERVER],
      spareIds: [SPARE],
    });
    await cluster.start();
    leaderId = await cluster.waitForLeader();
    followers = VOTERS.filter((entryId) => entryId !== leaderId);
    await cluster.clock.advance(SETTLE_MS);
  });

  function follower(at: number): string {
    return followers[at] ?? "";
  }

  async function proposeZone(entryId: string, name: string): Promise<number> {
    const proposed = await cluster.propose(entryId, { name });
    if (proposed.isErr) {
      throw new Error(`${name}: ${JSON.stringify(proposed.error)}`);
    }
    return proposed.value.revision;
  }

  async function expectRevisionEverywhere(revision: number): Promise<void> {
    await cluster.clock.advance(SETTLE_MS);
    for (const { entryId, replica } of cluster.entries.values()) {
      assert.is(replica?.state.revision, revision, entryId);
    }
  }

  function isFresh(entryId: string): boolean {
    const { freshUntilMs } = cluster.replica(entryId).status();
    return freshUntilMs > cluster.clock.monotonicMs();
  }

  function listVoters(entryId: string): string[] {
    const { voters } = cluster.replica(entryId).state.membership;
    return voters.map((voter) => voter.entryId).sort();
  }

  // Appends enough log entries for a snapshot, in large batches.
  async function fillLog(count = SNAPSHOT_INTERVAL_COUNT + 10): Promise<void> {
    const { replica } = cluster.find(leaderId);
    const record = { type: "record" as const, records: [] };
    const proposals = Array.from(
      { length: count },
      () => replica?.propose(record),
    );
    await cluster.clock.runUntil(Promise.all(proposals), SETTLE_MS);
  }

  describe("a deployment without faults", () => {
    it("accepts a change at any entry and applies it on all entries", async () => {
      let revision = 0;
      for (const entryId of cluster.entryIds) {
        revision = await proposeZone(entryId, `zone-${entryId}`);
        await cluster.clock.advance(SETTLE_MS);
      }
      await expectRevisionEverywhere(revision);
      assert.is(revision, cluster.entryIds.length);
    });

    it("accepts a change only after a majority has synced it to disk", async () => {
      for (const entryId of followers) {
        cluster.find(entryId).disk.beforeSync = () => cluster.clock.sleep(300);
      }
      const startedMs = cluster.clock.monotonicMs();
      await proposeZone(leaderId, "zone-slow");
      assert.ok(cluster.clock.monotonicMs() - startedMs >= 300);
    });

    it("keeps every entry fresh while nothing changes", async () => {
      for (let seconds = 0; seconds < 20; seconds += 1) {
        await cluster.clock.advance(1_000);
        cluster.entryIds.forEach((entryId) => assert.ok(isFresh(entryId)));
      }
    });
  });

  describe("concurrent changes of operators", () => {
    it("accepts one of two changes for the same revision and reports the conflict", async () => {
      const [left, right] = await cluster.clock.runUntil(
        Promise.all([follower(0), OBSERVER].map((entryId, at) => {
          const change = createChange({ name: "zone-x" }, 0);
          change.change.operationId = `operation-${at}`;
          return cluster.replica(entryId).propose(change);
        })),
        SETTLE_MS,
      );
      const rejected = [left, right].find((proposed) => proposed?.isErr);
      assert.ok(rejected?.isErr && [left, right].some((one) => one?.isOk));
      assert.is(rejected.error.kind, "conflict");
      assert.match(JSON.stringify(rejected.error.detail), "zone-x");
    });

    for (const event of ["leader change", "restart", "snapshot"] as const) {
      it(`returns the original result to a resend after a ${event}`, async () => {
        const first = await proposeZone(OBSERVER, "zone-1");
        await proposeZone(OBSERVER, "zone-2");
        if (event === "snapshot") {
          await fillLog();
        }
        if (event === "leader change") {
          cluster.crash(leaderId);
        } else {
          VOTERS.forEach((entryId) => cluster.crash(entryId));
          for (const entryId of VOTERS) {
            await cluster.startEntry(entryId);
          }
        }
        await cluster.clock.advance(SETTLE_MS);
        const resend = { name: "zone-1", expectedRevision: 0 };
        const again = await cluster.propose(OBSERVER, resend);
        assert.ok(again.isOk && again.value.revision === first);
        const other = { name: "zone-9", operationId: "operation-zone-1" };
        const reused = await cluster.propose(OBSERVER, other);
        assert.ok(reused.isErr && reused.error.kind === "operationIdReused");
      });
    }
  });

  describe("a leader that is lost", () => {
    // "mute" drops all messages from the leader, "deafen" all messages to it.
    const losses = ["crash", "isolate", "pause", "mute", "deafen"] as const;
    for (const loss of losses) {
      it(`is replaced after ${loss} and reverts nothing when it returns`, async () => {
        await proposeZone(OBSERVER, "zone-1");
        const { network } = cluster;
        const failLeader = {
          crash: () => cluster.crash(leaderId),
          isolate: () => network.isolate(leaderId),
          pause: () => cluster.pause(leaderId),
          mute: () =>
            cluster.entryIds.forEach((entryId) =>
              network.setFaults(leaderId, entryId, { cut: true })
            ),
          deafen: () =>
            cluster.entryIds.forEach((entryId) =>
              network.setFaults(entryId, leaderId, { cut: true })
            ),
        };
        failLeader[loss]();
        const startedMs = cluster.clock.monotonicMs();
        assert.is(await proposeZone(follower(0), "zone-2"), 2);
        const tookMs = cluster.clock.monotonicMs() - startedMs;
        assert.ok(tookMs < NEXT_CHANGE_LIMIT_MS, `took ${tookMs} ms`);
        const oldLeaderStatus = cluster.find(leaderId).replica?.status();
        assert.is(oldLeaderStatus?.leaderSinceMs, undefined);
        await cluster.clock.advance(FRESHNESS_LEASE_MS);
        assert.not(loss !== "crash" && isFresh(leaderId));
        network.heal();
        cluster.resume(leaderId);
        if (loss === "crash") {
          await cluster.startEntry(leaderId);
        }
        await expectRevisionEverywhere(2);
      });
    }
  });

  describe("a freshness lease", () => {
    it("expires with the leader's quorum, also where the leader is still reachable", async () => {
      for (const entryId of followers) {
        cluster.network.isolate(entryId);
      }
      await cluster.clock.advance(FRESHNESS_LEASE_MS);
      assert.not(isFresh(OBSERVER) || isFresh(leaderId));
    });

    it("is valid only once everything committed before it is applied", async () => {
      cluster.network.isolate(OBSERVER);
      await fillLog(MAX_BATCH_COUNT * 3);
      await proposeZone(leaderId, "zone-1");
      await cluster.clock.advance(FRESHNESS_LEASE_MS);
      cluster.network.heal();
      for (let passedMs = 0; passedMs < SETTLE_MS; passedMs += 1) {
        await cluster.clock.advance(1);
        const { revision } = cluster.replica(OBSERVER).state;
        assert.ok(!isFresh(OBSERVER) || revision === 1);
      }
      assert.ok(isFresh(OBSERVER));
    });
  });

  describe("a vote", () => {
    async function requestVote(
      candidateId: string,
      term = 50,
    ): Promise<boolean> {
      const { network, clock } = cluster;
      const request = { term, isPreVote: false };
      const last = { lastIndex: 1_000, lastTerm: 49 };
      const reply = await clock.runUntil(
        network.join(candidateId).call(
          follower(0),
          METHODS.vote,
          { ...request, ...last },
          { timeoutMs: 100 },
        ),
        SETTLE_MS,
      );
      return reply.isOk && JSON.stringify(reply.value).includes("true");
    }

    it("is granted once per term, also across a crash", async () => {
      cluster.crash(leaderId);
      cluster.crash(follower(1));
      await cluster.clock.advance(SETTLE_MS);
      assert.ok(await requestVote("x"));
      cluster.crash(follower(0));
      await cluster.startEntry(follower(0));
      await cluster.clock.advance(SETTLE_MS);
      assert.not(await requestVote("y"));
      assert.ok(await requestVote("x"));
    });

    // Guards against a second lease holder, whose answers may be older.
    it("is refused while there is an active leader, also after a slow disk saved the vote for it", async () => {
      const { clock, network } = cluster;
      const { disk } = cluster.find(follower(0));
      cluster.crash(leaderId);
      cluster.crash(follower(1));
      await clock.advance(SETTLE_MS);
      disk.beforeSync = () => clock.sleep(MIN_ELECTION_TIMEOUT_MS);
      await requestVote("x");
      // The disk saves the new term first, and then the vote.
      await clock.advance(2 * MIN_ELECTION_TIMEOUT_MS - 200);
      const announced = network.join("x").call(
        follower(0),
        METHODS.announce,
        { term: 50 },
        { timeoutMs: 50 },
      );
      await clock.runUntil(announced, SETTLE_MS);
      await clock.advance(MIN_ELECTION_TIMEOUT_MS / 2);
      disk.beforeSync = undefined;
      assert.not(await requestVote("y", 51));
    });

    it("is refused while there is an active leader", async () => {
      assert.not(await requestVote("x"));
    });

    // Guards against a second lease holder, whose answers may be older.
    it("is refused while there is an active leader, also after its resignation from an earlier term arrives", async () => {
      const resignation = { term: cluster.replica(leaderId).status().term - 1 };
      const sent = cluster.network.join(leaderId).call(
        follower(0),
        METHODS.resign,
        resignation,
        { timeoutMs: 100 },
      );
      await cluster.clock.runUntil(sent, SETTLE_MS);
      assert.not(await requestVote("x"));
    });

    // Guards against a second lease holder, whose answers may be older.
    it("is refused while there is an active leader, also after the wall clock was set ahead", async () => {
      cluster.find(follower(0)).clock.setAhead(SETTLE_MS);
      assert.not(await requestVote("x"));
    });
  });

  describe("a wall clock that is set", () => {
    // Guards against a change of leader, and so a pause for callers, that nothing
    // but the clock of the leader calls for.
    for (const stepMs of [SETTLE_MS, -SETTLE_MS]) {
      it(`by ${stepMs} ms at the leader keeps the term`, async () => {
        const { term } = cluster.replica(leaderId).status();
        for (let at = 0; at < 20; at += 1) {
          cluster.find(leaderId).clock.setAhead(stepMs);
          await cluster.clock.advance(QUORUM_LOSS_TIMEOUT_MS / 7);
        }
        const status = cluster.replica(leaderId).status();
        assert.is(status.term, term);
        assert.is(status.leaderId, leaderId);
      });
    }
  });

  describe("without a quorum", () => {
    it("accepts nothing, the leader steps down and all leases expire", async () => {
      followers.forEach((entryId) => cluster.crash(entryId));
      const proposed = await cluster.propose(leaderId, { name: "zone-1" });
      assert.ok(proposed.isErr && proposed.error.kind === "noQuorum");
      assert.equal(cluster.listLeaders(), []);
      assert.not(isFresh(leaderId) || isFresh(OBSERVER));
    });
  });

  describe("a planned stop of the leader", () => {
    it("transfers leadership before the election timeout", async () => {
      const handedOver = cluster.replica(leaderId).transferLeadership();
      await cluster.clock.runUntil(handedOver, MIN_ELECTION_TIMEOUT_MS);
      assert.is(cluster.replica(leaderId).status().leaderSinceMs, undefined);
      const startedMs = cluster.clock.monotonicMs();
      assert.is(await proposeZone(OBSERVER, "zone-1"), 1);
      const tookMs = cluster.clock.monotonicMs() - startedMs;
      assert.ok(tookMs < MIN_ELECTION_TIMEOUT_MS, `took ${tookMs} ms`);
    });
  });

  describe("a proposal for one term", () => {
    async function proposeInTerm(term: number): Promise<string | undefined> {
      const proposed = await cluster.clock.runUntil(
        cluster.replica(leaderId).proposeInTerm(
          term,
          createChange({ name: "zone-term" }, 0),
        ),
        SETTLE_MS,
      );
      return proposed.isErr ? proposed.error.kind : undefined;
    }

    it("is accepted while the term lasts", async () => {
      const { term } = cluster.replica(leaderId).status();
      assert.is(await proposeInTerm(term), undefined);
      await expectRevisionEverywhere(1);
    });

    // Guards against decisions of a deposed leader that take effect under the
    // next one.
    it("is not forwarded to the leader of the next term", async () => {
      const { term } = cluster.replica(leaderId).status();
      await cluster.clock.runUntil(
        cluster.replica(leaderId).transferLeadership(),
        SETTLE_MS,
      );
      assert.is(await proposeInTerm(term), "notLeader");
      await cluster.waitForLeader();
      await expectRevisionEverywhere(0);
    });

    // Guards against a proposal that waits in the queue while its leader loses
    // and regains the leadership.
    it("is not accepted in a later term of the same leader", async () => {
      const { term } = cluster.replica(leaderId).status();
      assert.is(await proposeInTerm(term - 1), "notLeader");
      await expectRevisionEverywhere(0);
    });
  });

  describe("a caller that stops waiting", () => {
    for (const entryId of ["a", OBSERVER]) {
      it(`at ${entryId} learns that the outcome of its proposal is unknown`, async () => {
        followers.forEach((other) => cluster.crash(other));
        const stop = new AbortController();
        const change = createChange({ name: "zone-1" }, 0);
        const proposed = cluster.replica(entryId).propose(change, stop.signal);
        await cluster.clock.advance(100);
        stop.abort();
        const failed = await cluster.clock.runUntil(proposed, 0);
        assert.ok(failed.isErr && failed.error.kind === "noQuorum");
      });
    }
  });

  describe("a follower that was disconnected", () => {
    it("does not depose the leader when it returns", async () => {
      const { term } = cluster.replica(leaderId).status();
      cluster.network.isolate(follower(0));
      await cluster.clock.advance(60_000);
      cluster.network.heal();
      await cluster.clock.advance(SETTLE_MS);
      assert.equal(cluster.listLeaders(), [leaderId]);
      assert.is(cluster.replica(follower(0)).status().term, term);
    });

    it("installs a snapshot when the leader has discarded the log entries", async () => {
      cluster.network.isolate(follower(0));
      await proposeZone(leaderId, "zone-1");
      await fillLog();
      cluster.network.heal();
      await expectRevisionEverywhere(1);
      cluster.crash(follower(0));
      await cluster.startEntry(follower(0));
      await expectRevisionEverywhere(1);
    });
  });

  describe("an emptied data folder", () => {
    it("neither votes nor counts before the membership names it", async () => {
      await proposeZone(leaderId, "zone-1");
      const [first, second] = followers;
      cluster.wipe(first ?? "");
      cluster.crash(leaderId);
      await cluster.startEntry(first ?? "");
      await cluster.clock.advance(30_000);
      assert.equal(cluster.listLeaders(), []);
      await cluster.startEntry(leaderId);
      await expectRevisionEverywhere(1);
      assert.ok(second);
    });

    it("is replaced, and a second one right after it loses no data", async () => {
      let revision = 0;
      for (const entryId of VOTERS) {
        cluster.wipe(entryId);
        revision = await proposeZone(OBSERVER, `zone-${entryId}`);
        await cluster.startEntry(entryId);
        const { storeId } = cluster.find(entryId);
        await cluster.waitFor(() => {
          const { voters } = cluster.replica(OBSERVER).state.membership;
          return voters.find((voter) => voter.storeId === storeId);
        }, `${entryId} votes again`);
      }
      assert.is(revision, VOTERS.length);
      await expectRevisionEverywhere(revision);
    });
  });

  describe("membership", () => {
    async function setVoters(
      voters: readonly string[],
      learners: readonly string[] = [],
    ): Promise<string> {
      const toMember = (entryId: string) => {
        const { storeId } = cluster.find(entryId);
        return { entryId, storeId };
      };
      const proposed = await cluster.clock.runUntil(
        cluster.replica(leaderId).propose({
          type: "membership",
          voters: voters.map(toMember),
          learners: learners.map(toMember),
        }),
        SETTLE_MS,
      );
      return proposed.isOk ? "accepted" : proposed.error.kind;
    }

    async function changeVoter(
      action: "add" | "remove",
      entryId: string,
    ): Promise<string> {
      const changed = await cluster.clock.runUntil(
        cluster.replica(OBSERVER).changeVoter({ action, entryId }),
        SETTLE_MS,
      );
      return changed.isOk ? "accepted" : changed.error.kind;
    }

    it("refuses to change two voters at once", async () => {
      assert.is(await setVoters([leaderId]), "conflict");
      assert.is(await setVoters([]), "conflict");
    });

    it("makes an added entry a voter once it has caught up", async () => {
      await proposeZone(leaderId, "zone-1");
      assert.is(await changeVoter("add", SPARE), "accepted");
      assert.is(await changeVoter("add", SPARE), "accepted");
      await cluster.clock.advance(SETTLE_MS);
      assert.equal(listVoters(OBSERVER), [...VOTERS, SPARE]);
    });

    it("replaces a permanently lost voter", async () => {
      cluster.crash(follower(0));
      assert.is(await changeVoter("remove", follower(0)), "accepted");
      assert.is(await changeVoter("add", SPARE), "accepted");
      await cluster.clock.advance(SETTLE_MS);
      cluster.crash(follower(1));
      assert.is(await proposeZone(OBSERVER, "zone-1"), 1);
    });

    it("refuses to add an entry without a disk", async () => {
      assert.is(await changeVoter("add", OBSERVER), "notFound");
    });

    it("elects another leader when the leader is removed, which then starts no election", async () => {
      assert.is(await setVoters(followers), "accepted");
      await cluster.clock.advance(SETTLE_MS);
      const { term } = cluster.replica(follower(0)).status();
      await cluster.clock.advance(30_000);
      assert.is(await proposeZone(follower(0), "zone-1"), 1);
      assert.is(cluster.replica(follower(0)).status().term, term);
      await expectRevisionEverywhere(1);
    });
  });

  describe("a full disk", () => {
    // Guards against a leader that refuses a change because its disk is full,
    // although another voter can accept the change in time.
    it("on the leader lets another voter lead and accept the change", async () => {
      await proposeZone(leaderId, "zone-1");
      cluster.find(leaderId).disk.isFull = true;
      assert.is(await proposeZone(leaderId, "zone-2"), 2);
      assert.is.not(await cluster.waitForLeader(), leaderId);
      await cluster.clock.advance(SETTLE_MS);
      assert.is(await proposeZone(follower(0), "zone-3"), 3);
      cluster.find(leaderId).disk.isFull = false;
      await expectRevisionEverywhere(3);
    });

    it("on the only voter refuses the change at once", async () => {
      const single = new FakeCluster({ seed: 4, voterIds: ["a"] });
      await single.start();
      const onlyId = await single.waitForLeader();
      single.find(onlyId).disk.isFull = true;
      const startedMs = single.clock.monotonicMs();
      const refused = await single.propose(onlyId, { name: "zone-1" });
      assert.ok(refused.isErr && refused.error.kind === "readOnly");
      assert.ok(single.clock.monotonicMs() - startedMs < 100);
    });
  });

  describe("a failed sync", () => {
    it("is reported as a fatal error", async () => {
      cluster.find(leaderId).disk.failsSync = true;
      void cluster.replica(leaderId).propose(
        createChange({ name: "zone-1" }, 0),
      );
      await cluster.clock.advance(100);
      assert.is(cluster.fatalFailures.length, 1);
    });
  });
});
