/** Fakes of the logger and metrics ports that collect what they receive. */
import type { RequestMeasurement } from "../ports/index.ts";
import type { LogFields, Logger, Metrics } from "../ports/index.ts";

/** One collected log line. */
export interface CollectedLine {
  readonly level: "debug" | "info" | "warn" | "error";
  readonly fields: LogFields;
  readonly message: string;
}

/** Collects log lines; child loggers collect into the same list. */
export class FakeLogger implements Logger {
  readonly lines: CollectedLine[] = [];

  debug(fields: LogFields, message: string): void {
    this.lines.push({ level: "debug", fields, message });
  }

  info(fields: LogFields, message: string): void {
    this.lines.push({ level: "info", fields, message });
  }

  warn(fields: LogFields, message: string): void {
    this.lines.push({ level: "warn", fields, message });
  }

  error(fields: LogFields, message: string): void {
    this.lines.push({ level: "error", fields, message });
  }

  child(): Logger {
    return this;
  }
}

/** Collects request measurements and adds up bytes. */
export class FakeMetrics implements Metrics {
  readonly requests: RequestMeasurement[] = [];
  revision = 0;
  sentBytes = 0;
  receivedBytes = 0;

  recordRequest(measurement: RequestMeasurement): void {
    this.requests.push(measurement);
  }

  setRevision(revision: number): void {
    this.revision = revision;
  }

  countControlBytes(direction: "sent" | "received", byteCount: number): void {
    if (direction === "sent") {
      this.sentBytes += byteCount;
    } else {
      this.receivedBytes += byteCount;
    }
  }
}
