import fc from "fast-check";
import * as assert from "uvu/assert";
import type { CallerRequest } from "../../domain/index.ts";
import {
  type BackendAct,
  createFakeEntry,
  declareFakeFleet,
  describe,
  FakeAgreement,
  FakeBackendClient,
  FakeClock,
  type FakeEntry,
  it,
  type ProposalFault,
} from "../../testing/index.ts";
import { REPLAYED_HEADER } from "./claim_answer.ts";

const MAX_MS = 60_000;
const WORK_MS = 500;
const SEED = 12;

interface Setup {
  readonly clock: FakeClock;
  readonly agreement: FakeAgreement;
  readonly client: FakeBackendClient;
  readonly entries: readonly [FakeEntry, FakeEntry];
}

/** Result as the caller sees it: an HTTP status, a failure kind, or a note. */
type CallOutcome = number | string;

function createSetup(maxBatchCount = 500): Setup {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  declareFakeFleet(agreement);
  const client = new FakeBackendClient(clock);
  client.workMs = WORK_MS;
  const createOne = (seed: number) =>
    createFakeEntry({
      entryId: `entry-${seed}`,
      clock,
      agreement,
      client,
      seed,
      maxBatchCount,
    });
  return { clock, agreement, client, entries: [createOne(1), createOne(2)] };
}

async function call(
  entry: FakeEntry,
  parts: Partial<CallerRequest> = {},
): Promise<CallOutcome> {
  const ran = await entry.requests.run(
    entry.createRequest({ idempotencyKey: "key", ...parts }),
  );
  if (ran.isErr) {
    return ran.error.failure.kind;
  }
  try {
    for await (const chunk of ran.value.body) {
      assert.ok(chunk.length > 0);
    }
  } catch {
    return "cut";
  }
  const isReplay = ran.value.headers[REPLAYED_HEADER] !== undefined;
  return isReplay ? `replayed ${ran.value.status}` : ran.value.status;
}

describe("ClaimService", () => {
  describe("a resend through another entry", () => {
    const cases: readonly {
      readonly title: string;
      readonly act: BackendAct;
      readonly resendAfterMs: number;
      readonly resend?: Partial<CallerRequest>;
      readonly first: CallOutcome;
      readonly second: CallOutcome;
      readonly startedCount: number;
    }[] = [
      {
        title: "while the first runs",
        act: "answer",
        resendAfterMs: 100,
        first: 200,
        second: "stillRunning",
        startedCount: 1,
      },
      {
        title: "at the same moment",
        act: "answer",
        resendAfterMs: 0,
        first: 200,
        second: "stillRunning",
        startedCount: 1,
      },
      {
        title: "after a success",
        act: "answer",
        resendAfterMs: 1_000,
        first: 200,
        second: "replayed 200",
        startedCount: 1,
      },
      {
        title: "after a failure",
        act: "failedAnswer",
        resendAfterMs: 1_000,
        first: 500,
        second: "replayed 500",
        startedCount: 1,
      },
      {
        title: "after an unknown outcome",
        act: "outcomeUnknown",
        resendAfterMs: 1_000,
        first: "outcomeUnknown",
        second: "outcomeUnknown",
        startedCount: 1,
      },
      {
        title: "after a cut answer",
        act: "cutAnswer",
        resendAfterMs: 1_000,
        first: "cut",
        second: "outcomeUnknown",
        startedCount: 1,
      },
      {
        title: "with another path",
        act: "answer",
        resendAfterMs: 1_000,
        resend: { path: "/other" },
        first: 200,
        second: "operationIdReused",
        startedCount: 1,
      },
      {
        title: "of another team",
        act: "answer",
        resendAfterMs: 1_000,
        resend: { secret: "secret-2" },
        first: 200,
        second: 200,
        startedCount: 2,
      },
    ];
    for (const { title, act, resendAfterMs, resend, ...expected } of cases) {
      it(`${title}: ${expected.second}`, async () => {
        const { clock, client, entries } = createSetup();
        client.chooseAct = () => act;
        const first = call(entries[0]);
        await clock.advance(resendAfterMs);
        const second = call(entries[1], resend);
        assert.equal(
          await clock.runUntil(Promise.all([first, second]), MAX_MS),
          [expected.first, expected.second],
        );
        assert.is(client.startedCount, expected.startedCount);
      });
    }

    it("runs when the first request did not run", async () => {
      const { clock, client, entries } = createSetup();
      client.chooseAct = () =>
        client.attempts.length < 3 ? "notStarted" : "answer";
      assert.is(
        await clock.runUntil(call(entries[0]), MAX_MS),
        "noBackendServer",
      );
      await clock.advance(100);
      assert.is(await clock.runUntil(call(entries[1]), MAX_MS), 200);
      assert.is(client.startedCount, 1);
    });

    it("gets the outcome of work whose caller disconnected", async () => {
      const { clock, client, entries } = createSetup();
      const caller = new AbortController();
      const first = call(entries[0], { signal: caller.signal });
      await clock.advance(100);
      caller.abort();
      await clock.advance(WORK_MS);
      await first;
      await clock.advance(100);
      assert.is(
        await clock.runUntil(call(entries[1]), MAX_MS),
        "replayed 200",
      );
      assert.is(client.startedCount, 1);
    });

    it("after a crash of the first entry: still running, then unknown", async () => {
      const { clock, client, entries } = createSetup();
      client.workMs = 5_000;
      void call(entries[0]);
      await clock.advance(100);
      void entries[0].tasks.stop();
      entries[0].claims.settle = () => undefined;
      await clock.advance(1_000);
      assert.is(
        await clock.runUntil(call(entries[1]), MAX_MS),
        "stillRunning",
      );
      await clock.advance(15_000);
      assert.is(
        await clock.runUntil(call(entries[1]), MAX_MS),
        "outcomeUnknown",
      );
      assert.is(client.startedCount, 1);
    });
  });

  describe("when the log fails", () => {
    const faults: readonly ProposalFault[] = [
      "lost",
      "appliedOutcomeUnknown",
      "refused",
    ];
    for (const fault of faults) {
      it(`${fault}: nothing is sent, and a resend runs later`, async () => {
        const { clock, agreement, client, entries } = createSetup();
        agreement.fault = fault;
        const outcome = await clock.runUntil(call(entries[0]), MAX_MS);
        assert.is(outcome, "peerUnreachable");
        assert.is(client.attempts.length, 0);
        assert.equal(
          entries[0].metrics.requests.map(({ outcome }) => outcome),
          ["notRun"],
        );
        agreement.fault = "none";
        await clock.advance(1_000);
        assert.is(await clock.runUntil(call(entries[1]), MAX_MS), 200);
        assert.is(client.startedCount, 1);
      });
    }

    it("times out without an answer, and a late claim has no effect", async () => {
      const { clock, agreement, client, entries } = createSetup();
      agreement.proposeMs = 3_000;
      const outcome = await clock.runUntil(call(entries[0]), MAX_MS);
      assert.is(outcome, "peerUnreachable");
      agreement.proposeMs = 1;
      await clock.advance(5_000);
      assert.is(await clock.runUntil(call(entries[1]), MAX_MS), 200);
      assert.is(client.startedCount, 1);
    });
  });

  it("never starts the work of one key twice under faults", async () => {
    const acts = fc.constantFrom<BackendAct>(
      "answer",
      "notStarted",
      "outcomeUnknown",
      "noAnswer",
      "cutAnswer",
    );
    const faults = fc.constantFrom<ProposalFault>(
      "none",
      "none",
      "lost",
      "appliedOutcomeUnknown",
    );
    const sends = fc.array(
      fc.record({
        entry: fc.integer({ min: 0, max: 1 }),
        afterMs: fc.integer({ min: 0, max: 2_000 }),
        fault: faults,
      }),
      { minLength: 2, maxLength: 6 },
    );
    await fc.assert(
      fc.asyncProperty(sends, fc.array(acts), async (script, actScript) => {
        const { clock, agreement, client, entries } = createSetup();
        client.chooseAct = () => actScript[client.attempts.length] ?? "answer";
        for (const { entry, afterMs, fault } of script) {
          agreement.fault = fault;
          void call(entries[entry as 0 | 1]);
          await clock.advance(afterMs);
        }
        agreement.fault = "none";
        await clock.advance(MAX_MS);
        assert.ok(client.startedCount <= 1);
        const countedCount = entries[0].metrics.requests.length +
          entries[1].metrics.requests.length;
        assert.is(countedCount, script.length);
      }),
      { seed: SEED, numRuns: 60 },
    );
  });

  it("writes many claims in few commands", async () => {
    const commandCounts: number[] = [];
    for (const maxBatchCount of [500, 1]) {
      const { clock, agreement, entries } = createSetup(maxBatchCount);
      const calls = Array.from(
        { length: 20 },
        (_, at) => call(entries[0], { idempotencyKey: `key-${at}` }),
      );
      await clock.runUntil(Promise.all(calls), MAX_MS);
      await clock.advance(1_000);
      commandCounts.push(agreement.commands.length);
    }
    const [batchedCount = 0, singleCount = 0] = commandCounts;
    assert.is(singleCount, 40);
    assert.ok(batchedCount <= 4, `${batchedCount} commands`);
  });
});
