/**
 * Compares ways of handing out permits in simulated time, with the real
 * classes over fakes. Prints one JSON line.
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
  // The fakes keep timers that nobody waits for.
  process.exit(0);
}

await main();
