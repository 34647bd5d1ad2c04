/** The kept decision records, bounded so that requests push out no actions. */
import { dropOldest } from "./bounded_map.ts";
import type { DecisionRecord } from "./decision_record.ts";

/** Records of placements and refusals that are kept. */
export const MAX_KEPT_REQUEST_RECORDS = 4_000;
/** Records of moves, drains, holds and all other actions that are kept. */
export const MAX_KEPT_ACTION_RECORDS = 6_000;

interface KeptRecord {
  readonly sequence: number;
  readonly record: DecisionRecord;
}

/**
 * Keeps the newest records of requests and of actions, each up to its bound.
 *
 * Requests are decided thousands of times more often than VMs are moved; with
 * one bound a busy hour would erase why a VM was moved.
 */
export class AuditTrail {
  readonly #requests = new Map<string, KeptRecord>();
  readonly #actions = new Map<string, KeptRecord>();
  #sequence = 0;

  /**
   * Keeps a record; one with a known id replaces the known one.
   *
   * @param record - The record.
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
   * Lists the kept records.
   *
   * @returns The records, oldest first.
   */
  list(): DecisionRecord[] {
    return [...this.#requests.values(), ...this.#actions.values()]
      .sort((left, right) => left.sequence - right.sequence)
      .map(({ record }) => record);
  }
}
