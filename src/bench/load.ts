/** Generates load on a deployment at a fixed rate or with a fixed number of callers. */
import { SystemClock } from "../adapters/clock/index.ts";
import type { Random } from "../ports/index.ts";
import type { Call, CallRecord, StandInCaller } from "../stand_ins/index.ts";

const TICK_MS = 10;
const MS_PER_SECOND = 1_000;
const MIN_RETRY_PAUSE_MS = 100;
const RETRY_PAUSE_SPREAD_MS = 200;

/** Options of {@link runOpenLoop}. */
export interface OpenLoopOptions {
  readonly caller: StandInCaller;
  /** Calls per second, regardless of their outcome. */
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Chooses the next call. */
  readonly chooseCall: () => Call;
}

/**
 * Sends calls at a fixed rate, regardless of how fast they are answered.
 *
 * @param options - Rate, duration and calls.
 * @returns The records of all calls, once each has ended.
 */
export async function runOpenLoop(
  options: OpenLoopOptions,
): Promise<CallRecord[]> {
  const { caller, ratePerSecond, durationMs, chooseCall } = options;
  const clock = new SystemClock();
  const startedAtMs = clock.monotonicMs();
  const pending: Promise<CallRecord>[] = [];
  for (;;) {
    const elapsedMs = clock.monotonicMs() - startedAtMs;
    const boundedMs = Math.min(elapsedMs, durationMs);
    const dueCount = Math.floor(boundedMs * ratePerSecond / MS_PER_SECOND);
    while (pending.length < dueCount) {
      pending.push(caller.send(chooseCall()));
    }
    if (elapsedMs >= durationMs) {
      return await Promise.all(pending);
    }
    await clock.sleep(TICK_MS);
  }
}

/** Options of {@link runClosedLoop}. */
export interface ClosedLoopOptions {
  readonly caller: StandInCaller;
  /** Number of callers, which each wait for an answer before the next call. */
  readonly callerCount: number;
  readonly durationMs: number;
  readonly random: Random;
  /** Chooses the next call of a caller. */
  readonly chooseCall: (callerIndex: number) => Call;
  /** Ends the load early when it is aborted. */
  readonly signal?: AbortSignal;
}

/**
 * Runs a fixed number of callers that send one call after another.
 *
 * @param options - Number of callers, duration and calls.
 * @returns Resolves when each caller's last call has ended.
 */
export async function runClosedLoop(options: ClosedLoopOptions): Promise<void> {
  const clock = new SystemClock();
  const untilMs = clock.monotonicMs() + options.durationMs;
  const isFinished = () =>
    clock.monotonicMs() >= untilMs || options.signal?.aborted === true;
  const callers = Array.from(
    { length: options.callerCount },
    async (_, callerIndex) => {
      while (!isFinished()) {
        const record = await options.caller.send(
          options.chooseCall(callerIndex),
        );
        if (record.outcome !== "succeeded") {
          // A random pause keeps refused callers from retrying all at once.
          const spreadMs = options.random.nextInt(RETRY_PAUSE_SPREAD_MS);
          await clock.sleep(MIN_RETRY_PAUSE_MS + spreadMs);
        }
      }
    },
  );
  await Promise.all(callers);
}
