/** Port for metrics of requests, configuration and control traffic. */
import type { RequestOutcome } from "../domain/index.ts";

/** Measurements of one request. */
export interface RequestMeasurement {
  readonly team: string;
  readonly queue: string;
  readonly outcome: RequestOutcome;
  readonly waitMs: number;
  readonly runMs: number;
  readonly totalMs: number;
}

/** Records measurements. */
export interface Metrics {
  /** Records one finished request. */
  recordRequest(measurement: RequestMeasurement): void;
  /** Sets the configuration revision in force. */
  setRevision(revision: number): void;
  /** Counts bytes of control traffic between entries. */
  countControlBytes(direction: "sent" | "received", byteCount: number): void;
}
