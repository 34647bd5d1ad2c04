import * as assert from "uvu/assert";
import { beforeEach, describe, FakeCluster, it } from "../testing/index.ts";
import {
  DISK_COOLDOWN_MS,
  ELECTION_JITTER_MS,
  MAX_ELECTION_RETRY_DELAY_MS,
  MIN_ELECTION_TIMEOUT_MS,
  VOTE_TIMEOUT_MS,
} from "./timing.ts";

const VOTERS = ["a", "b", "c"];
const FULL_MS = 200;
const FIRST_START_FULL_MS = 3_000;
/** The random part of an election timeout, an election and its confirmation. */
const RESIGNED_ELECTION_MS = ELECTION_JITTER_MS + VOTE_TIMEOUT_MS;
/** A cooldown, an election timeout and two elections. */
const RECOVERY_MS = DISK_COOLDOWN_MS + MIN_ELECTION_TIMEOUT_MS +
  ELECTION_JITTER_MS +
  2 * (2 * VOTE_TIMEOUT_MS + MAX_ELECTION_RETRY_DELAY_MS);

describe("voters with full disks", () => {
  let cluster: FakeCluster;
  let leaderId: string;
  let followers: string[];

  beforeEach(async () => {
    cluster = new FakeCluster({ seed: 8, voterIds: VOTERS });
    await cluster.start();
    leaderId = await cluster.waitForLeader();
    followers = VOTERS.filter((entryId) => entryId !== leaderId);
    await cluster.clock.advance(2_000);
  });

  function setFull(entryId: string, isFull: boolean): void {
    cluster.find(entryId).disk.isFull = isFull;
  }

  // Guards against followers that wait for their whole election timeout although
  // the leader knows that it no longer leads.
  describe("at the leader", () => {
    it("are announced, and another voter leads without the whole timeout", async () => {
      setFull(leaderId, true);
      void cluster.propose(leaderId, { name: "zone-1" });
      await cluster.clock.advance(RESIGNED_ELECTION_MS);
      const leaders = cluster.listLeaders();
      assert.is(leaders.length, 1);
      assert.is.not(leaders[0], leaderId);
    });
  });

  // Guards against a cluster without a candidate: each leader whose disk had been
  // full started no election for 10 s, also when its disk had room again.
  describe("one after another", () => {
    it("have a leader soon after the last disk has room", async () => {
      for (let turn = 0; turn < VOTERS.length; turn += 1) {
        const fullId = await cluster.waitForLeader();
        setFull(fullId, true);
        void cluster.propose(fullId, { name: `zone-${turn}` });
        await cluster.clock.advance(FULL_MS);
        setFull(fullId, false);
      }
      await cluster.clock.advance(RECOVERY_MS);
      assert.is(cluster.listLeaders().length, 1);
    });
  });

  // Guards against a deployment that never starts because the disk of the voter
  // that writes its first membership was full for a moment.
  describe("at the first start", () => {
    for (const name of ["vote.new", "log"]) {
      it(`write the first membership once ${name} can be written`, async () => {
        const blank = new FakeCluster({ seed: 9, voterIds: VOTERS });
        await blank.start();
        const { disk } = blank.find("a");
        let isFull = true;
        disk.beforeOperation = (operation, file) =>
          isFull && operation === "write" && file === name
            ? Promise.reject(new Error("ENOSPC"))
            : Promise.resolve();
        await blank.clock.advance(FIRST_START_FULL_MS);
        assert.equal(blank.listLeaders(), []);
        isFull = false;
        await blank.waitForLeader();
      });
    }
  });

  describe("in an election", () => {
    // Guards against candidates that raise the term although their disk rejects
    // it, and so depose every leader that the others elect.
    it("do not raise a term that is not durable", async () => {
      const { term } = cluster.replica(leaderId).status();
      followers.forEach((entryId) => setFull(entryId, true));
      cluster.crash(leaderId);
      await cluster.clock.advance(10_000);
      for (const entryId of followers) {
        assert.is(cluster.replica(entryId).status().term, term, entryId);
      }
    });
  });
});
