/** Metrics of processes that expose none. */
import type { Metrics } from "../../ports/index.ts";

/** Records nothing. */
export class NoopMetrics implements Metrics {
  recordRequest(): void {}

  setRevision(): void {}

  countControlBytes(): void {}
}
