/**
 * Compares permit policies in simulated time: runs the classes of the daemon with
 * fakes of clock and network, and prints one line of JSON.
 */
import process from "node:process";
import { SystemClock } from "../adapters/clock/index.ts";
import { measureFairness } from "./permit_fairness.ts";
import { measureLimitUse } from "./permit_limit_use.ts";
import { measureDecisionTimes } from "./permit_decision_time.ts";

const SEED = 1;

async function main(): Promise<void> {
  const clock = new SystemClock();
  const startedAtMs = clock.monotonicMs();
  const figures = {
    ...await measureLimitUse(SEED),
    ...await measureFairness(SEED),
    ...measureDecisionTimes(clock),
    tookMs: Math.round(clock.monotonicMs() - startedAtMs),
  };
  process.stdout.write(`${JSON.stringify(figures)}\n`);
  // Simulated callers and timers of the fakes are still pending here. Nothing
  // waits for them.
  process.exit(0);
}

await main();
