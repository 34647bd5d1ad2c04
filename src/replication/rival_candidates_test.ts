import * as assert from "uvu/assert";
import { cutLeaderOff, describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/** Voters that are cut off beside the leader: a candidate needs all others. */
const CUT_COUNT = 3;
const SEED_COUNT = 60;
const SETTLE_MS = 4_000;
/** One-way delay between zones. */
const DELAY_MS = 10;
/** The bound that the benchmark `failover` states. */
const MAX_UNAVAILABLE_MS = 3_000;

describe("candidates of which each needs all reachable voters", () => {
  async function findNewTerm(seed: number): Promise<number> {
    const cluster = new FakeCluster({ seed, voterIds: VOTERS });
    cluster.network.setDefaults({ delayMs: DELAY_MS });
    await cluster.start();
    await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
    const { findLeader, oldLeaderId } = await cutLeaderOff(cluster, CUT_COUNT);
    const findTerm = (id: string) => cluster.replica(id).status().term;
    // The leader that is cut off still has the term in which it led.
    return findTerm(findLeader() ?? "") - findTerm(oldLeaderId);
  }

  // Guards against two candidates that know of each other, and that each vote
  // for themselves: the next election begins 0.4 s later.
  it("elect a leader in one term", async () => {
    const late: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const termCount = await findNewTerm(seed);
      if (termCount > 1) {
        late.push(`seed ${seed}: ${termCount} terms`);
      }
    }
    assert.equal(late, []);
  });

  // Guards against a candidate that waits for good for another one, which asks
  // for votes but never gets an answer.
  it("elect another one when the first cannot win", async () => {
    const late: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const cluster = new FakeCluster({ seed, voterIds: VOTERS });
      await cluster.start();
      const oldLeaderId = await cluster.waitForLeader();
      await cluster.clock.advance(SETTLE_MS);
      const [first = "", ...others] = VOTERS.filter((id) => id !== oldLeaderId);
      for (const other of others) {
        cluster.network.setFaults(other, first, { cut: true });
      }
      cluster.crash(oldLeaderId);
      await cluster.clock.advance(MAX_UNAVAILABLE_MS);
      if (cluster.listLeaders().length === 0) {
        late.push(`seed ${seed}`);
      }
    }
    assert.equal(late, []);
  });
});
