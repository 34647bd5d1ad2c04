/** Fakes of the logger and metrics ports that collect what they receive. */
import type {
  EventLoopMetrics,
  JobLabels,
  LeaderMetrics,
  LogFields,
  Logger,
  Metrics,
  ProcessUsage,
  ProcessUsageReading,
  RequestMeasurement,
  RunFaultKind,
  RunnerRemoval,
  RunnerRequestKind,
  RunnerRequestOutcome,
} from "../ports/index.ts";

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

/** Collects the measurements of a leader and its event loop. */
export class FakeLeaderMetrics implements LeaderMetrics, EventLoopMetrics {
  readonly loopDelaysMs: number[] = [];
  readonly commits: { outcome: string; tookMs: number }[] = [];
  readonly planStartCounts: number[] = [];
  /** Number of requests by kind and outcome, as in `poll answered`. */
  readonly requestCounts = new Map<string, number>();
  readonly removals: RunnerRemoval[] = [];
  readonly runFaults: RunFaultKind[] = [];
  /** Rejected jobs, as in `queue team reason`. */
  readonly rejections: string[] = [];
  /** Methods of the messages, in order. */
  readonly methods: string[] = [];

  recordEventLoopDelay(delayMs: number): void {
    this.loopDelaysMs.push(delayMs);
  }

  recordCommit(outcome: string, tookMs: number): void {
    this.commits.push({ outcome, tookMs });
  }

  recordPlan(_tookMs: number, startCount: number): void {
    this.planStartCounts.push(startCount);
  }

  countRunnerRequest(
    kind: RunnerRequestKind,
    outcome: RunnerRequestOutcome,
  ): void {
    const key = `${kind} ${outcome}`;
    this.requestCounts.set(key, (this.requestCounts.get(key) ?? 0) + 1);
  }

  countRemovedRunner(reason: RunnerRemoval): void {
    this.removals.push(reason);
  }

  countRunFault(kind: RunFaultKind): void {
    this.runFaults.push(kind);
  }

  countRejectedJob({ queue, team }: JobLabels, reason: string): void {
    this.rejections.push(`${queue} ${team} ${reason}`);
  }

  countMessage(method: string): void {
    this.methods.push(method);
  }
}

/** A process usage that a test sets. */
export class FakeProcessUsage implements ProcessUsage {
  reading: ProcessUsageReading = { cpuMs: 0, loopActiveMs: 0 };

  read(): ProcessUsageReading {
    return this.reading;
  }
}
