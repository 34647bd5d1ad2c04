import * as assert from "uvu/assert";
import { createChange, describe, FakeCluster, it } from "../testing/index.ts";
import { LEADER_LEASE_MS } from "./timing.ts";

const VOTERS = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/** Voters that are cut off beside the leader: all others are needed. */
const CUT_COUNT = 3;
const SEED_COUNT = 20;
const SETTLE_MS = 4_000;
const STEP_MS = 10;
/** Time in which a broken connection is made again. */
const RECONNECT_MS = 300;
const WATCH_MS = 5_000;

describe("a leader that needs all voters it reaches", () => {
  /** Cuts a leader off, and waits until the others have elected another one. */
  async function cutLeaderOff(seed: number) {
    const cluster = new FakeCluster({ seed, voterIds: VOTERS });
    await cluster.start();
    const oldLeaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
    const others = VOTERS.filter((id) => id !== oldLeaderId);
    const reachable = others.slice(CUT_COUNT);
    for (const cut of [oldLeaderId, ...others.slice(0, CUT_COUNT)]) {
      for (const other of reachable) {
        cluster.network.setFaults(cut, other, { cut: true });
        cluster.network.setFaults(other, cut, { cut: true });
      }
    }
    const findLeader = () =>
      cluster.listLeaders().find((id) => reachable.includes(id));
    while (findLeader() === undefined) {
      await cluster.clock.advance(STEP_MS);
    }
    return { cluster, reachable, findLeader };
  }

  // Guards against followers that look for a leader among voters that do not
  // answer, when only the connection to the one that they follow was closed.
  it("goes on leading when its followers connect anew", async () => {
    const lost: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const { cluster, reachable, findLeader } = await cutLeaderOff(seed);
      const leaderId = findLeader() ?? "";
      await cluster.clock.advance(RECONNECT_MS);
      for (const follower of reachable) {
        cluster.network.reset(follower, leaderId);
      }
      await cluster.clock.advance(WATCH_MS);
      if (findLeader() !== leaderId) {
        lost.push(`seed ${seed}`);
      }
    }
    assert.equal(lost, []);
  });

  it("commits within its lease once its followers connect anew", async () => {
    const { cluster, reachable, findLeader } = await cutLeaderOff(1);
    const leaderId = findLeader() ?? "";
    await cluster.clock.advance(RECONNECT_MS);
    for (const follower of reachable) {
      cluster.network.reset(follower, leaderId);
    }
    const { revision } = cluster.replica(leaderId).state;
    const change = createChange({ name: "zone-a" }, revision);
    const committed = cluster.replica(leaderId).propose(change);
    const answered = await cluster.clock.runUntil(committed, LEADER_LEASE_MS);
    assert.ok(answered.isOk);
  });
});
