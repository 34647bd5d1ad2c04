import * as assert from "uvu/assert";
import { describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/** Voters that are cut off beside the leader: a candidate needs all others. */
const CUT_COUNT = 3;
const SEED_COUNT = 60;
const SETTLE_MS = 4_000;
const STEP_MS = 10;
/** One-way delay between zones. */
const DELAY_MS = 10;

describe("candidates of which each needs all reachable voters", () => {
  async function findNewTerm(seed: number): Promise<number> {
    const cluster = new FakeCluster({ seed, voterIds: VOTERS });
    cluster.network.setDefaults({ delayMs: DELAY_MS });
    await cluster.start();
    const oldLeaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
    const oldTerm = cluster.replica(oldLeaderId).status().term;
    const others = VOTERS.filter((id) => id !== oldLeaderId);
    const reachable = others.slice(CUT_COUNT);
    for (const cut of [oldLeaderId, ...others.slice(0, CUT_COUNT)]) {
      for (const other of reachable) {
        cluster.network.setFaults(cut, other, { cut: true });
        cluster.network.setFaults(other, cut, { cut: true });
      }
    }
    for (;;) {
      await cluster.clock.advance(STEP_MS);
      const leaderId = cluster.listLeaders().find((id) =>
        reachable.includes(id)
      );
      if (leaderId !== undefined) {
        return cluster.replica(leaderId).status().term - oldTerm;
      }
    }
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
});
