/** Bounded store of decision records, the audit trail. */
import { dropOldest } from "./bounded_map.ts";
import type { DecisionRecord } from "./decision_record.ts";

/** Maximum number of records of placements and refusals. */
export const MAX_KEPT_REQUEST_RECORDS = 4_000;
/** Maximum number of records of moves, drains, holds and all other actions. */
export const MAX_KEPT_ACTION_RECORDS = 6_000;

interface KeptRecord {
  readonly sequence: number;
  readonly record: DecisionRecord;
}

/**
 * Keeps the newest decision records, with separate bounds for requests and
 * for actions.
 *
 * Decisions about requests are thousands of times more frequent than moves of
 * VMs. With one common bound, a busy hour of requests would evict the records
 * that explain why a VM was moved.
 */
export class AuditTrail {
  readonly #requests = new Map<string, KeptRecord>();
  readonly #actions = new Map<string, KeptRecord>();
  #sequence = 0;

  /**
   * Stores a record, and evicts the oldest of its group when the bound is
   * exceeded.
   *
   * @param record - The record; it replaces a stored one with the same id.
   */
  put(record: DecisionRecord): void {
    const isRequest = record.action === "placement" ||
      record.action === "refusal";
    const kept = isRequest ? this.#requests : this.#actions;
    const maxSize = isRequest
      ? MAX_KEPT_REQUEST_RECORDS
      : MAX_KEPT_ACTION_RECORDS;
    this.#sequence += 1;
    kept.delete(record.decisionId);
    kept.set(record.decisionId, { sequence: this.#sequence, record });
    dropOldest(kept, maxSize);
  }

  /**
   * Lists the stored records.
   *
   * @returns The records, oldest first.
   */
  list(): DecisionRecord[] {
    return [...this.#requests.values(), ...this.#actions.values()]
      .sort((left, right) => left.sequence - right.sequence)
      .map(({ record }) => record);
  }
}
