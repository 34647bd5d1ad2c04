/** Waits until a revision is in force at every entry that still vouches for one. */
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
  /** Time after which the wait is given up, in milliseconds. */
  readonly deadlineMs: number;
}

/** Where a revision is in force. */
export interface RevisionInForce {
  readonly revision: number;
  readonly inForceAt: readonly string[];
  /** Entries whose lease has lapsed: they start no work until they caught up. */
  readonly lapsed: readonly string[];
}

/**
 * Waits until each entry has the revision in force or its lease has lapsed.
 *
 * @param options - Client, revision and deadline (ms).
 * @returns The entries, or `stillRunning` with the names of the stragglers.
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
        "the change stays accepted; look at these entries with 'cardamomsill status'",
      detail: { revision, stragglers: names },
    },
  );
}
