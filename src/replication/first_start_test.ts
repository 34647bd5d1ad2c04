import * as assert from "uvu/assert";
import { describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c"];
const SEED = 20_291;
/** Time after the last process is back within which there must be a leader. */
const LEADER_WITHIN_MS = 7_000;
const DOWN_MS = 3_500;
const KILL_AFTER_MS = [0, 50, 100, 300, 1_000, 2_500];

/** Starts the killed processes again, which may no longer bootstrap. */
async function restart(
  cluster: FakeCluster,
  killed: readonly string[],
): Promise<void> {
  await cluster.clock.advance(DOWN_MS);
  for (const entryId of killed) {
    await cluster.startEntry(entryId, false);
  }
}

async function expectOneGroup(cluster: FakeCluster): Promise<void> {
  const { clock } = cluster;
  const startedMs = clock.monotonicMs();
  await cluster.waitForLeader();
  const tookMs = clock.monotonicMs() - startedMs;
  assert.ok(tookMs <= LEADER_WITHIN_MS, `took ${tookMs} ms`);
  await clock.advance(LEADER_WITHIN_MS);
  const proposed = await cluster.propose("c", { name: "zone-1" });
  assert.ok(proposed.isOk);
  await clock.advance(LEADER_WITHIN_MS);
  const revisions = VOTERS.map((entryId) =>
    cluster.replica(entryId).state.revision
  );
  assert.equal(revisions, [1, 1, 1]);
  VOTERS.forEach((entryId) => cluster.crash(entryId));
}

// Guards against deployments that never have a leader: only one process may write
// the first membership, and it was killed before it had.
describe("the first start of a deployment", () => {
  for (const killed of [["a"], ["b"], ["a", "b"]]) {
    for (const afterMs of KILL_AFTER_MS) {
      it(`succeeds if ${killed.join(" and ")} are killed after ${afterMs} ms`, async () => {
        const cluster = new FakeCluster({ seed: SEED, voterIds: VOTERS });
        await cluster.start();
        await cluster.clock.advance(afterMs);
        killed.forEach((entryId) => cluster.crash(entryId));
        await restart(cluster, killed);
        await expectOneGroup(cluster);
      });
    }
  }

  it("succeeds if the first process is killed between its vote and its log", async () => {
    const cluster = new FakeCluster({ seed: SEED, voterIds: VOTERS });
    await cluster.startEntry("a");
    const { disk } = cluster.find("a");
    disk.beforeOperation = (operation, name) =>
      name.includes("vote") || operation === "syncFolder"
        ? Promise.resolve()
        : new Promise(() => {});
    await cluster.startEntry("b");
    await cluster.startEntry("c");
    await cluster.clock.advance(2_000);
    cluster.crash("a");
    disk.beforeOperation = undefined;
    await restart(cluster, ["a"]);
    await expectOneGroup(cluster);
  });
});
