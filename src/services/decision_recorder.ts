/** Writes the audit trail. Equal decisions within a window share one record. */
import type { DecisionCause, DecisionRecord } from "../domain/index.ts";
import type { Agreement, Clock, Logger } from "../ports/index.ts";

/** Window in which equal decisions share one record, in milliseconds. */
export const RECORD_WINDOW_MS = 10_000;
const FLUSH_INTERVAL_MS = 1_000;
const MAX_OPEN_RECORDS = 2_000;

/** A decision to record. */
export interface NewDecision {
  readonly action: DecisionRecord["action"];
  readonly subjects: readonly string[];
  readonly summary: string;
  /** Used instead of the summary to decide whether two decisions are equal. */
  readonly group?: string;
  readonly causes: readonly DecisionCause[];
  readonly figures?: Readonly<Record<string, number>>;
  readonly rejected?: readonly string[];
}

/** Options of {@link DecisionRecorder}. */
export interface DecisionRecorderOptions {
  readonly entryId: string;
  /** Id of this run of the entry; keeps decision ids unique over restarts. */
  readonly runId: string;
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface OpenRecord {
  readonly record: DecisionRecord;
  readonly openedAtMs: number;
  isDirty: boolean;
}

/** Collects decisions and writes them to the replicated log in batches. */
export class DecisionRecorder {
  readonly #options: DecisionRecorderOptions;
  readonly #open = new Map<string, OpenRecord>();
  readonly #openById = new Map<string, OpenRecord>();
  #sequence = 0;

  constructor(options: DecisionRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records a decision.
   *
   * @param decision - The decision and its causes.
   * @returns Id of the decision, shared by equal decisions in the same window.
   */
  record(decision: NewDecision): string {
    const { agreement, clock } = this.#options;
    const revision = agreement.state.revision;
    const key = JSON.stringify([
      decision.action,
      decision.subjects,
      decision.group ?? decision.summary,
      revision,
    ]);
    const nowMs = clock.monotonicMs();
    const open = this.#open.get(key);
    if (open !== undefined && nowMs - open.openedAtMs < RECORD_WINDOW_MS) {
      open.record.count += 1;
      open.isDirty = true;
      return open.record.decisionId;
    }
    this.#sequence += 1;
    const record: DecisionRecord = {
      decisionId:
        `${this.#options.entryId}.${this.#options.runId}.${this.#sequence}`,
      atMs: clock.nowMs(),
      action: decision.action,
      subjects: [...decision.subjects],
      summary: decision.summary,
      revision,
      causes: [...decision.causes],
      figures: { ...decision.figures },
      rejected: [...(decision.rejected ?? [])],
      count: 1,
    };
    const opened = { record, openedAtMs: nowMs, isDirty: true };
    this.#open.set(key, opened);
    this.#openById.set(record.decisionId, opened);
    return record.decisionId;
  }

  /**
   * Finds a record that may not be in the replicated log yet.
   *
   * @param decisionId - Id of the decision.
   * @returns The record, or undefined when it is not open on this entry.
   */
  findOpen(decisionId: string): DecisionRecord | undefined {
    return this.#openById.get(decisionId)?.record;
  }

  /**
   * Writes batches until the signal aborts, then writes the remaining records.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(FLUSH_INTERVAL_MS, signal);
      await this.flush();
    }
  }

  /** Writes all changed records to the log in one command. */
  async flush(): Promise<void> {
    const dirty = [...this.#open.values()].filter(({ isDirty }) => isDirty);
    if (dirty.length > 0) {
      await this.#write(dirty);
    }
    this.#closeOld();
  }

  async #write(dirty: readonly OpenRecord[]): Promise<void> {
    for (const open of dirty) {
      open.isDirty = false;
    }
    // Copies, because the counts may grow while the proposal is pending.
    const records = dirty.map(({ record }) => ({ ...record }));
    const proposed = await this.#options.agreement.propose({
      type: "record",
      records,
    });
    if (proposed.isErr) {
      for (const open of dirty) {
        open.isDirty = true;
      }
      this.#options.logger.warn(
        { failure: proposed.error, recordCount: records.length },
        "failed to write decision records; retrying",
      );
    }
  }

  #closeOld(): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const [decisionId, open] of this.#openById) {
      const isOld = nowMs - open.openedAtMs >= RECORD_WINDOW_MS;
      const isOverLimit = this.#openById.size > MAX_OPEN_RECORDS;
      if (!open.isDirty && (isOld || isOverLimit)) {
        this.#openById.delete(decisionId);
      }
    }
    for (const [key, { record }] of this.#open) {
      if (!this.#openById.has(record.decisionId)) {
        this.#open.delete(key);
      }
    }
  }
}
