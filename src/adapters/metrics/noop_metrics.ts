/** Metrics port for processes that expose no request metrics. */
import type { Metrics } from "../../ports/index.ts";

/** Discards all measurements. */
export class NoopMetrics implements Metrics {
  recordRequest(): void {}

  setRevision(): void {}

  countControlBytes(): void {}
}
