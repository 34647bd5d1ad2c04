/** The answers that are kept for resent operations. */
import { createHash } from "node:crypto";
import { Result } from "true-myth";
import { dropOldest } from "./bounded_map.ts";
import type { Change } from "./change.ts";
import { createFailure } from "./errors.ts";
import type { Applied, StoredOperation } from "./fleet_snapshot.ts";

/** Operations whose first answer is kept for a resend. */
export const MAX_KEPT_OPERATIONS = 20_000;

/** Remembers accepted operations by id, the newest of them. */
export class OperationTable {
  readonly #operations = new Map<string, StoredOperation>();

  /**
   * Answers a change that was accepted before.
   *
   * @param change - The change as sent now.
   * @returns The first answer again, `operationIdReused` for other content, or
   * undefined when the operation is not known.
   */
  answerResend(change: Change): Applied | undefined {
    const first = this.#operations.get(change.operationId);
    if (first === undefined) {
      return undefined;
    }
    if (first.contentDigest === digestContent(change)) {
      return Result.ok({ revision: first.accepted.revision });
    }
    return Result.err(
      createFailure(
        "operationIdReused",
        `operation ${first.operationId} was accepted with other content as revision ${first.accepted.revision}`,
        { remedy: "send the other content under a new operation id" },
      ),
    );
  }

  /**
   * Remembers an accepted change.
   *
   * @param change - The change.
   * @param revision - The revision that it led to.
   */
  record(change: Change, revision: number): void {
    const { operationId } = change;
    const accepted = { operationId, revision };
    this.put({ operationId, contentDigest: digestContent(change), accepted });
    dropOldest(this.#operations, MAX_KEPT_OPERATIONS);
  }

  /** Takes an operation back from a snapshot. */
  put(operation: StoredOperation): void {
    this.#operations.set(operation.operationId, operation);
  }

  /** Lists the kept operations, oldest first. */
  list(): StoredOperation[] {
    return [...this.#operations.values()];
  }
}

// A digest is enough to tell contents apart; the contents themselves may be
// large and are kept for long.
function digestContent(change: Change): string {
  const content = JSON.stringify([change.puts, change.deletes]);
  return createHash("sha256").update(content).digest("hex");
}
