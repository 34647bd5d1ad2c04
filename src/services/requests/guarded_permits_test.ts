import type { Result } from "true-myth";
import * as assert from "uvu/assert";
import type { CallerAnswer, RequestFailure } from "../../domain/index.ts";
import {
  type OverloadPolicy,
  QueueLengthPolicy,
  WaitTimePolicy,
} from "../../decisions/index.ts";
import {
  createFakeEntry,
  declareFakeFleet,
  describe,
  FakeAgreement,
  FakeBackendClient,
  FakeClock,
  type FakeEntry,
  FifoPermitSource,
  it,
} from "../../testing/index.ts";

const WORK_MS = 200;
const SLOT_COUNT = 8;
const CAPACITY_PER_SECOND = SLOT_COUNT * 1_000 / WORK_MS;
const PEAK_MS = 10_000;
const PEAK_FACTOR = 5;
const STEP_MS = 50;
const DEADLINE_MS = 1_500;
const TARGET_WAIT_MS = 2_000;

interface Setup {
  readonly clock: FakeClock;
  readonly entry: FakeEntry;
}

function createSetup(overload: OverloadPolicy): Setup {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  declareFakeFleet(agreement);
  const client = new FakeBackendClient(clock);
  client.workMs = WORK_MS;
  return {
    clock,
    entry: createFakeEntry({
      clock,
      agreement,
      client,
      overload,
      permits: new FifoPermitSource(clock, SLOT_COUNT),
    }),
  };
}

async function call(
  { clock, entry }: Setup,
  secret: string,
  deadlineMs = DEADLINE_MS,
): Promise<string> {
  const request = entry.createRequest({
    secret,
    deadlineAtMs: clock.monotonicMs() + deadlineMs,
  });
  const ran = await entry.requests.run(request);
  if (ran.isErr) {
    return ran.error.failure.kind;
  }
  for await (const chunk of ran.value.body) {
    assert.ok(chunk.length > 0);
  }
  return clock.monotonicMs() <= request.deadlineAtMs ? "answered" : "late";
}

/** Runs a load peak of one team and counts the outcomes of its requests. */
async function runPeak(
  setup: Setup,
  inTheMiddle: () => void = () => undefined,
): Promise<Map<string, number>> {
  const outcomeCounts = new Map<string, number>();
  const perStep = CAPACITY_PER_SECOND * PEAK_FACTOR * STEP_MS / 1_000;
  const calls: Promise<void>[] = [];
  for (let at = 0; at < PEAK_MS; at += STEP_MS) {
    for (let one = 0; one < perStep; one += 1) {
      calls.push(
        call(setup, "secret-1").then((kind) => {
          outcomeCounts.set(kind, (outcomeCounts.get(kind) ?? 0) + 1);
        }),
      );
    }
    await setup.clock.advance(STEP_MS);
    if (at === PEAK_MS / 2) {
      inTheMiddle();
    }
  }
  await setup.clock.runUntil(Promise.all(calls), 2 * DEADLINE_MS);
  return outcomeCounts;
}

describe("GuardedPermitSource", () => {
  it("keeps goodput at five times the capacity, unlike the queue length policy", async () => {
    const capacityCount = CAPACITY_PER_SECOND * PEAK_MS / 1_000;
    const guarded = createSetup(new WaitTimePolicy());
    const outcomeCounts = await runPeak(guarded);
    const answeredCount = outcomeCounts.get("answered") ?? 0;
    assert.ok(
      answeredCount >= 0.9 * capacityCount,
      JSON.stringify([...outcomeCounts]),
    );
    const waits = guarded.entry.metrics.requests
      .filter(({ outcome }) => outcome === "succeeded")
      .map(({ waitMs }) => waitMs);
    assert.ok(Math.max(...waits) <= TARGET_WAIT_MS);
    const baseline = await runPeak(createSetup(new QueueLengthPolicy()));
    assert.ok(
      (baseline.get("answered") ?? 0) < answeredCount,
      JSON.stringify([...baseline]),
    );
  });

  it("gives each early refusal a retry time and the limit that caused it", async () => {
    const setup = createSetup(new WaitTimePolicy());
    const requestsInPeak: Promise<Result<CallerAnswer, RequestFailure>>[] = [];
    await runPeak(setup, () => {
      for (let one = 0; one < 100; one += 1) {
        requestsInPeak.push(
          setup.entry.requests.run(setup.entry.createRequest()),
        );
      }
    });
    const all = await setup.clock.runUntil(
      Promise.all(requestsInPeak),
      TARGET_WAIT_MS,
    );
    const ran = all.find((one) =>
      one.isErr && one.error.failure.kind === "overloaded"
    );
    assert.ok(ran?.isErr);
    const { failure } = ran.error;
    assert.is(failure.kind, "overloaded");
    assert.ok((failure.retryAfterMs ?? 0) >= 250);
    const record = setup.entry.recorder.findOpen(failure.decisionId ?? "");
    assert.is(record?.causes[0]?.field, "maxWaitMs");
    assert.ok((record?.count ?? 0) > 100, "equal refusals share one record");
    assert.ok((record?.figures["waitingCount"] ?? 0) > 0);
  });

  it("lets a small team's first request wait beside a large backlog", async () => {
    const setup = createSetup(new WaitTimePolicy());
    let small: Promise<string> | undefined;
    await runPeak(setup, () => {
      small = call(setup, "secret-2", 2 * DEADLINE_MS);
    });
    assert.is(await small, "answered");
  });
});
