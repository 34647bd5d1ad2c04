import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { SeededRandom } from "../adapters/random/index.ts";
import { createFailure } from "../domain/index.ts";
import {
  beforeEach,
  describe,
  FakeClock,
  FakeNetwork,
  it,
} from "../testing/index.ts";
import type { ExplainService, Explanation } from "./explain_service.ts";
import { FleetExplainer } from "./fleet_explainer.ts";

const ENTRY_IDS = ["a", "b", "c"];
const LIMIT_MS = 5_000;

// Creates a service that knows a single subject. Other tests cover the audit
// trail.
function createMemory(known: string): ExplainService {
  const explain = (
    subject: string,
  ): Result<Explanation, ReturnType<typeof createFailure>> =>
    subject === known
      ? Result.ok({ subject, summary: "placed on vm/vm-1", records: [] })
      : Result.err(createFailure("notFound", `${subject} is not known`));
  return { explain } as unknown as ExplainService;
}

describe("explanations from all entries", () => {
  let clock: FakeClock;
  let network: FakeNetwork;
  let explainers: Map<string, FleetExplainer>;

  beforeEach(() => {
    clock = new FakeClock();
    network = new FakeNetwork(clock, new SeededRandom(1));
    explainers = new Map(ENTRY_IDS.map((entryId) => [
      entryId,
      new FleetExplainer({
        local: createMemory(`request/of-${entryId}`),
        network: network.join(entryId),
        peerIds: ENTRY_IDS.filter((other) => other !== entryId),
      }),
    ]));
  });

  async function explain(entryId: string, subject: string) {
    const explainer = explainers.get(entryId);
    assert.ok(explainer);
    return await clock.runUntil(explainer.explain(subject, 0), LIMIT_MS);
  }

  describe("a request", () => {
    it("is found on the entry that served it, from any entry", async () => {
      for (const entryId of ENTRY_IDS) {
        const found = await explain(entryId, "request/of-b");
        assert.is(
          found.map(({ summary }) => summary).unwrapOr(undefined),
          "placed on vm/vm-1",
        );
      }
    });

    it("is found while another entry is cut off", async () => {
      network.isolate("c");
      assert.ok((await explain("a", "request/of-b")).isOk);
    });

    it("is not found when its entry cannot be reached", async () => {
      network.isolate("b");
      const missing = await explain("a", "request/of-b");
      assert.is(missing.isErr && missing.error.kind, "notFound");
    });
  });

  describe("a resource", () => {
    it("is not requested from other entries, since all have the same trail", async () => {
      network.isolate("b");
      const before = clock.monotonicMs();
      await explain("a", "vm/vm-1");
      assert.is(clock.monotonicMs(), before);
    });
  });
});
