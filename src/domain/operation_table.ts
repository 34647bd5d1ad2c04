/** Stored answers to accepted operations, for clients that resend them. */
import { createHash } from "node:crypto";
import { Result } from "true-myth";
import { dropOldest } from "./bounded_map.ts";
import type { Change } from "./change.ts";
import { createFailure } from "./errors.ts";
import type { Applied, StoredOperation } from "./fleet_snapshot.ts";

/** Maximum number of operations whose answer is stored for a resend. */
export const MAX_KEPT_OPERATIONS = 20_000;

/** Stores the newest accepted operations by id. */
export class OperationTable {
  readonly #operations = new Map<string, StoredOperation>();

  /**
   * Answers a change whose operation id was accepted before.
   *
   * @param change - The change that was just received.
   * @returns The first answer again, `operationIdReused` when the content
   * differs, or undefined when the operation is not stored.
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
        `operation ${first.operationId} was already accepted with different content as revision ${first.accepted.revision}`,
        { remedy: "send the different content under a new operation id" },
      ),
    );
  }

  /**
   * Stores the answer to an accepted change, and drops the oldest answer beyond
   * {@link MAX_KEPT_OPERATIONS}.
   *
   * @param change - The change.
   * @param revision - The revision that the change created.
   */
  record(change: Change, revision: number): void {
    const { operationId } = change;
    const accepted = { operationId, revision };
    this.put({ operationId, contentDigest: digestContent(change), accepted });
    dropOldest(this.#operations, MAX_KEPT_OPERATIONS);
  }

  /** Restores an operation from a snapshot. */
  put(operation: StoredOperation): void {
    this.#operations.set(operation.operationId, operation);
  }

  /** Lists the stored operations, oldest first. */
  list(): StoredOperation[] {
    return [...this.#operations.values()];
  }
}

// A digest is enough to detect different content. The content itself may be
// large and would be kept for a long time.
function digestContent(change: Change): string {
  const content = JSON.stringify([change.puts, change.deletes]);
  return createHash("sha256").update(content).digest("hex");
}
