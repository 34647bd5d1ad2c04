import * as assert from "uvu/assert";
import { describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c"];
const SETTLE_MS = 2_000;
const STALL_MS = 10_000;
/** The bound that the benchmark `failover` states. */
const MAX_UNAVAILABLE_MS = 3_000;

describe("a leader whose disk stalls", () => {
  // Guards against a leader that holds its lease while it can commit nothing, so
  // that no other voter takes its place.
  it("is replaced as soon as one that is lost", async () => {
    const cluster = new FakeCluster({ seed: 74, voterIds: VOTERS });
    await cluster.start();
    const leaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
    cluster.find(leaderId).disk.beforeSync = () =>
      cluster.clock.sleep(STALL_MS);
    void cluster.propose(leaderId, { name: "zone-1" });
    await cluster.clock.advance(MAX_UNAVAILABLE_MS);
    const others = cluster.listLeaders().filter((id) => id !== leaderId);
    assert.is(others.length, 1);
  });
});
