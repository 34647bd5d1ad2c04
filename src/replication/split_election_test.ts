import * as assert from "uvu/assert";
import { describe, FakeCluster, it } from "../testing/index.ts";

const VOTERS = ["a", "b", "c", "d", "e"];
const SETTLE_MS = 4_000;
const STEP_MS = 20;
/** One way between zones; a question is on its way for as long. */
const DELAY_MS = 40;
const SEED_COUNT = 60;
/** The stated bound of the bench `failover`, and a start of the next try. */
const MAX_UNAVAILABLE_MS = 3_000;

// Pattern: the leader and one voter are cut off from the others, silently. The
// others ask in turn who leads, also those that cannot answer, while one of
// them is being elected.
describe("an election beside voters that cannot be reached", () => {
  async function measureUnavailable(seed: number): Promise<number> {
    const cluster = new FakeCluster({ seed, voterIds: VOTERS });
    cluster.network.setDefaults({ delayMs: DELAY_MS });
    await cluster.start();
    const oldLeaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SETTLE_MS);
    const [cutOffVoter = "", ...reachable] = VOTERS.filter((id) =>
      id !== oldLeaderId
    );
    for (const cut of [oldLeaderId, cutOffVoter]) {
      for (const other of reachable) {
        cluster.network.setFaults(cut, other, { cut: true });
        cluster.network.setFaults(other, cut, { cut: true });
      }
    }
    const cutAtMs = cluster.clock.monotonicMs();
    const hasNewLeader = () =>
      cluster.listLeaders().some((id) => reachable.includes(id));
    while (!hasNewLeader()) {
      await cluster.clock.advance(STEP_MS);
    }
    return cluster.clock.monotonicMs() - cutAtMs;
  }

  it("has a confirmed leader in time, whatever is asked meanwhile", async () => {
    const late: string[] = [];
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const tookMs = await measureUnavailable(seed);
      if (tookMs > MAX_UNAVAILABLE_MS) {
        late.push(`seed ${seed}: ${tookMs} ms`);
      }
    }
    assert.equal(late, []);
  });
});
