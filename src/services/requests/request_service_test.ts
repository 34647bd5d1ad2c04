import fc from "fast-check";
import * as assert from "uvu/assert";
import { QueueLengthPolicy } from "../../decisions/index.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  findAnswer,
  type RequestFailure,
} from "../../domain/index.ts";
import type { Result } from "true-myth";
import {
  type BackendAct,
  createFakeEntry,
  declareFakeFleet,
  describe,
  FakeAgreement,
  FakeBackendClient,
  FakeClock,
  type FakeEntry,
  type FakeEntryOptions,
  it,
} from "../../testing/index.ts";

const MAX_MS = 60_000;
const SEED = 11;

interface Setup {
  readonly clock: FakeClock;
  readonly client: FakeBackendClient;
  readonly entry: FakeEntry;
}

function createSetup(options: Partial<FakeEntryOptions> = {}): Setup {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  declareFakeFleet(agreement);
  const client = new FakeBackendClient(clock);
  const entry = createFakeEntry({ clock, agreement, client, ...options });
  return { clock, client, entry };
}

function scriptActs(client: FakeBackendClient, acts: readonly BackendAct[]) {
  client.chooseAct = () => acts[client.attempts.length] ?? "answer";
}

async function readAll(answer: CallerAnswer): Promise<string> {
  let text = "";
  for await (const chunk of answer.body) {
    text += new TextDecoder().decode(chunk);
  }
  return text;
}

async function runAndRead(
  entry: FakeEntry,
  request: CallerRequest,
): Promise<Result<CallerAnswer, RequestFailure>> {
  const ran = await entry.requests.run(request);
  if (ran.isOk) {
    await readAll(ran.value).catch(() => undefined);
  }
  return ran;
}

function listOutcomes({ metrics }: FakeEntry): string[] {
  return metrics.requests.map(({ outcome }) => outcome);
}

async function* streamBytes(chunkCount: number, chunkBytes: number) {
  for (let at = 0; at < chunkCount; at += 1) {
    yield await Promise.resolve(new Uint8Array(chunkBytes));
  }
}

describe("RequestService", () => {
  describe("outcomes", () => {
    const cases: readonly {
      readonly title: string;
      readonly acts: readonly BackendAct[];
      readonly idempotent?: boolean;
      readonly outcome: string;
      readonly attemptCount: number;
      readonly kind?: string;
    }[] = [
      {
        title: "a whole answer",
        acts: ["answer"],
        outcome: "succeeded",
        attemptCount: 1,
      },
      {
        title: "an answer with an error status",
        acts: ["failedAnswer"],
        outcome: "failed",
        attemptCount: 1,
      },
      {
        title: "not started, then an answer",
        acts: ["notStarted", "answer"],
        outcome: "succeeded",
        attemptCount: 2,
      },
      {
        title: "never started",
        acts: ["notStarted", "notStarted", "notStarted", "notStarted"],
        outcome: "notRun",
        attemptCount: 3,
        kind: "noBackendServer",
      },
      {
        title: "unknown outcome, not idempotent",
        acts: ["outcomeUnknown"],
        outcome: "unknown",
        attemptCount: 1,
        kind: "outcomeUnknown",
      },
      {
        title: "not started, then unknown outcome, not idempotent",
        acts: ["notStarted", "outcomeUnknown"],
        outcome: "unknown",
        attemptCount: 2,
        kind: "outcomeUnknown",
      },
      {
        title: "unknown outcome, idempotent",
        acts: ["outcomeUnknown", "answer"],
        idempotent: true,
        outcome: "succeeded",
        attemptCount: 2,
      },
      {
        title: "unknown outcome, then not started: never 'not run'",
        acts: ["outcomeUnknown", "notStarted", "notStarted"],
        idempotent: true,
        outcome: "unknown",
        attemptCount: 3,
        kind: "outcomeUnknown",
      },
      {
        title: "no response until the lease ends",
        acts: ["noAnswer"],
        outcome: "unknown",
        attemptCount: 1,
        kind: "outcomeUnknown",
      },
      {
        title: "an answer cut short",
        acts: ["cutAnswer"],
        idempotent: true,
        outcome: "unknown",
        attemptCount: 1,
      },
    ];
    for (const { title, acts, idempotent = false, ...expected } of cases) {
      it(`${title}: ${expected.outcome}`, async () => {
        const { clock, client, entry } = createSetup();
        scriptActs(client, acts);
        const ran = await clock.runUntil(
          runAndRead(entry, entry.createRequest({ idempotent })),
          MAX_MS,
        );
        assert.equal(listOutcomes(entry), [expected.outcome]);
        assert.is(client.attempts.length, expected.attemptCount);
        assert.is(
          ran.isErr ? ran.error.failure.kind : undefined,
          expected.kind,
        );
        const servers = client.attempts.map(({ attempt }) => attempt.port);
        assert.is(new Set(servers).size, servers.length);
        if (ran.isErr) {
          assert.ok(
            entry.recorder.findOpen(ran.error.failure.decisionId ?? ""),
          );
        }
      });
    }

    it("never repeats work that may have run, and never reports it as 'not run'", async () => {
      const acts = fc.constantFrom<BackendAct>(
        "answer",
        "failedAnswer",
        "notStarted",
        "outcomeUnknown",
        "noAnswer",
        "cutAnswer",
      );
      await fc.assert(
        fc.asyncProperty(
          fc.array(acts, { minLength: 1, maxLength: 4 }),
          fc.boolean(),
          async (script, idempotent) => {
            const { clock, client, entry } = createSetup();
            scriptActs(client, script);
            const ran = await clock.runUntil(
              runAndRead(entry, entry.createRequest({ idempotent })),
              MAX_MS,
            );
            assert.is(entry.metrics.requests.length, 1);
            assert.ok(idempotent || client.startedCount <= 1);
            const isNotRun = ran.isErr && findAnswer(ran.error.failure).notRun;
            assert.is(isNotRun, client.startedCount === 0);
          },
        ),
        { seed: SEED, numRuns: 60 },
      );
    });
  });

  describe("callers that disconnect", () => {
    it("drops work that has not started", async () => {
      const { clock, client, entry } = createSetup({ serverCount: 0 });
      const caller = new AbortController();
      const running = runAndRead(
        entry,
        entry.createRequest({ signal: caller.signal }),
      );
      await clock.advance(10);
      caller.abort();
      const ran = await clock.runUntil(running, 0);
      assert.ok(ran.isErr && ran.error.failure.kind === "cancelled");
      assert.equal(listOutcomes(entry), ["notRun"]);
      assert.is(client.attempts.length, 0);
    });

    it("frees a slot only when the lease has ended", async () => {
      const { clock, client, entry } = createSetup({
        serverCount: 1,
        slotCount: 1,
      });
      client.workMs = MAX_MS;
      const caller = new AbortController();
      const first = runAndRead(
        entry,
        entry.createRequest({ signal: caller.signal }),
      );
      await clock.advance(10);
      caller.abort();
      await clock.runUntil(first, 0);
      assert.equal(listOutcomes(entry), ["unknown"]);
      client.workMs = 1;
      const second = await clock.runUntil(
        runAndRead(entry, entry.createRequest()),
        3_000,
      );
      assert.ok(second.isErr, "the first attempt may still hold the slot");
      await clock.advance(3_000);
      const third = await clock.runUntil(
        runAndRead(entry, entry.createRequest()),
        100,
      );
      assert.ok(third.isOk);
    });

    it("counts an answer that nobody reads and releases its permit", async () => {
      const { clock, client, entry } = createSetup();
      const caller = new AbortController();
      const ran = await clock.runUntil(
        entry.requests.run(entry.createRequest({ signal: caller.signal })),
        MAX_MS,
      );
      assert.ok(ran.isOk);
      assert.equal(listOutcomes(entry), []);
      caller.abort();
      await clock.advance(0);
      assert.equal(listOutcomes(entry), ["unknown"]);
      assert.is(client.attempts.length, 1);
    });
  });

  describe("bodies", () => {
    it("sends a small body again when the attempt did not start", async () => {
      const { clock, client, entry } = createSetup();
      scriptActs(client, ["notStarted", "answer"]);
      const ran = await clock.runUntil(
        runAndRead(entry, entry.createRequest({ body: streamBytes(4, 1_024) })),
        MAX_MS,
      );
      assert.ok(ran.isOk);
      const sizes = client.attempts.map(({ attempt }) =>
        attempt.body instanceof Uint8Array ? attempt.body.length : -1
      );
      assert.equal(sizes, [4_096, 4_096]);
    });

    it("sends a large body once", async () => {
      const { clock, client, entry } = createSetup();
      scriptActs(client, ["notStarted", "answer"]);
      const ran = await clock.runUntil(
        runAndRead(
          entry,
          entry.createRequest({ body: streamBytes(100, 1_024) }),
        ),
        MAX_MS,
      );
      assert.ok(ran.isErr);
      assert.equal(listOutcomes(entry), ["notRun"]);
      assert.is(client.attempts.length, 1);
    });

    it("starts nothing when the body does not arrive before the deadline", async () => {
      const { clock, client, entry } = createSetup();
      async function* never() {
        await clock.sleep(MAX_MS);
        yield new Uint8Array(1);
      }
      const ran = await clock.runUntil(
        runAndRead(entry, entry.createRequest({ body: never() })),
        MAX_MS,
      );
      assert.ok(ran.isErr && ran.error.failure.kind === "expired");
      assert.is(client.attempts.length, 0);
    });
  });

  describe("failing backend servers and failing work", () => {
    const REQUEST_COUNT = 400;

    async function runMany(
      setup: Setup,
      createPath: (at: number) => string,
    ): Promise<Map<number, number>> {
      const { clock, client, entry } = setup;
      client.workMs = 20;
      for (let at = 0; at < REQUEST_COUNT; at += 1) {
        void runAndRead(entry, entry.createRequest({ path: createPath(at) }));
        await clock.advance(5);
      }
      const byServer = new Map<number, number>();
      for (const { attempt } of client.attempts) {
        byServer.set(attempt.port, (byServer.get(attempt.port) ?? 0) + 1);
      }
      return byServer;
    }

    for (
      const act of ["failedAnswer", "outcomeUnknown", "notStarted"] as const
    ) {
      it(`ejects a server whose attempts end with ${act}`, async () => {
        const setup = createSetup();
        setup.client.chooseAct = ({ port }) => port === 1 ? act : "answer";
        const byServer = await runMany(setup, (at) => `/work/${at}`);
        assert.ok((byServer.get(1) ?? 0) < REQUEST_COUNT / 20);
      });
    }

    it("ejects no server when the same work fails on all of them", async () => {
      const setup = createSetup();
      setup.client.chooseAct = ({ path }) =>
        path === "/poison" ? "failedAnswer" : "answer";
      const byServer = await runMany(
        setup,
        (at) => at % 2 === 0 ? "/poison" : "/work",
      );
      for (const port of [1, 2, 3, 4]) {
        assert.ok((byServer.get(port) ?? 0) > REQUEST_COUNT / 8);
      }
    });
  });

  it("cancels a thousand waiting requests cheaply", async () => {
    const { clock, entry } = createSetup({
      serverCount: 0,
      overload: new QueueLengthPolicy({ maxWaitingCount: 2_000 }),
    });
    const caller = new AbortController();
    const running = Array.from(
      { length: 1_000 },
      () => runAndRead(entry, entry.createRequest({ signal: caller.signal })),
    );
    await clock.advance(1);
    assert.is(entry.permits.waitingCount, 1_000);
    const startedMs = performance.now();
    caller.abort();
    await Promise.all(running);
    const tookMs = performance.now() - startedMs;
    assert.is(entry.permits.waitingCount, 0);
    assert.ok(tookMs < 1_000, `took ${tookMs} ms`);
  });
});
