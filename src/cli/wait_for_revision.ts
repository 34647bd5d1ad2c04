/** Waits until a revision is in force at every entry that holds a lease. */
import { setTimeout as sleep } from "node:timers/promises";
import { Result } from "true-myth";
import type * as v from "valibot";
import { createFailure, type Failure } from "../domain/index.ts";
import { type ApiClient, entryListSchema } from "./api/index.ts";

const POLL_INTERVAL_MS = 200;

type Entry = v.InferOutput<typeof entryListSchema>["entries"][number];

/** Options of {@link waitForRevision}. */
export interface WaitForRevisionOptions {
  readonly client: ApiClient;
  readonly revision: number;
  /** Maximum time to wait, in milliseconds. */
  readonly deadlineMs: number;
}

/** The entries at which a revision is in force, and those without a lease. */
export interface RevisionInForce {
  readonly revision: number;
  readonly inForceAt: readonly string[];
  /** Entries whose lease has expired: they start no work until they catch up. */
  readonly lapsed: readonly string[];
}

/**
 * Polls the entries until at each the revision is in force or the lease has
 * expired.
 *
 * @param options - The client, the revision and the deadline.
 * @returns The entries; `stillRunning`, with the ids of the entries that lag
 * behind, when the deadline has passed; or the failure of the last poll.
 */
export async function waitForRevision(
  options: WaitForRevisionOptions,
): Promise<Result<RevisionInForce, Failure>> {
  const { client, revision, deadlineMs } = options;
  const endMs = performance.now() + deadlineMs;
  for (;;) {
    const list = await client.get("/v1/entries", entryListSchema);
    const entries = list.isOk ? list.value.entries : [];
    const stragglers = entries.filter((entry) =>
      !isInForce(entry, revision) && entry.leaseLeftMs > 0
    );
    if (list.isOk && stragglers.length === 0) {
      return Result.ok(createSummary(entries, revision));
    }
    if (performance.now() >= endMs) {
      return Result.err(
        list.isErr ? list.error : createTimeoutFailure(stragglers, options),
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function isInForce(entry: Entry, revision: number): boolean {
  return (entry.revision ?? 0) >= revision;
}

function createSummary(
  entries: readonly Entry[],
  revision: number,
): RevisionInForce {
  const select = (wanted: boolean) =>
    entries.filter((entry) => isInForce(entry, revision) === wanted)
      .map(({ entryId }) => entryId);
  return { revision, inForceAt: select(true), lapsed: select(false) };
}

function createTimeoutFailure(
  stragglers: readonly Entry[],
  { revision, deadlineMs }: WaitForRevisionOptions,
): Failure {
  const names = stragglers.map(({ entryId }) => entryId);
  return createFailure(
    "stillRunning",
    `revision ${revision} is accepted, but after ${deadlineMs} ms not in force at ${
      names.join(", ")
    }`,
    {
      remedy:
        "the change stays accepted; check these entries with 'cardamomsill status'",
      detail: { revision, stragglers: names },
    },
  );
}
