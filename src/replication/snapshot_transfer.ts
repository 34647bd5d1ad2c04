/** Transfer of snapshots to followers in parts that fit into messages. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  type FleetSnapshot,
  membershipSchema,
  validateWith,
} from "../domain/index.ts";
import type { PeerNetwork, StoredSnapshot } from "../ports/index.ts";
import { METHODS } from "./messages.ts";
import {
  CALL_TIMEOUT_MS,
  MAX_SNAPSHOT_PART_BYTES,
  MAX_SNAPSHOT_PART_ITEMS,
} from "./timing.ts";
import { estimateValueBytes } from "./value_size.ts";

const LIST_NAMES = [
  "resources",
  "operations",
  "records",
  "assignments",
  "claims",
  "scheduling",
] as const;

const itemSchema = v.object({
  list: v.picklist(LIST_NAMES),
  value: v.unknown(),
});

type SnapshotItem = v.InferOutput<typeof itemSchema>;

/** Items of each part, for the snapshots that are being transferred. */
const partsBySnapshot = new WeakMap<StoredSnapshot, SnapshotItem[][]>();

const snapshotPartSchema = v.object({
  index: v.number(),
  term: v.number(),
  revision: v.number(),
  newestClaimAtMs: v.number(),
  membership: membershipSchema,
  items: v.array(itemSchema),
});

/** One part of a snapshot. */
export type SnapshotPart = v.InferOutput<typeof snapshotPartSchema>;

/** Identifies a snapshot that the leader offers. */
export interface SnapshotOffer {
  readonly index: number;
  readonly partCount: number;
}

/**
 * Counts the parts of a snapshot.
 *
 * @param snapshot - The snapshot.
 * @returns The number of parts, at least one.
 */
export function countSnapshotParts(snapshot: StoredSnapshot): number {
  return findParts(snapshot).length;
}

/**
 * Creates one part of a snapshot.
 *
 * @param snapshot - The snapshot.
 * @param part - Number of the part, from 0.
 * @returns The part.
 */
export function createSnapshotPart(
  snapshot: StoredSnapshot,
  part: number,
): SnapshotPart {
  const { index, term, state } = snapshot;
  return {
    index,
    term,
    revision: state.revision,
    newestClaimAtMs: state.newestClaimAtMs,
    membership: state.membership,
    items: findParts(snapshot)[part] ?? [],
  };
}

function findParts(snapshot: StoredSnapshot): SnapshotItem[][] {
  const parts = partsBySnapshot.get(snapshot) ?? splitIntoParts(snapshot);
  partsBySnapshot.set(snapshot, parts);
  return parts;
}

function splitIntoParts({ state }: StoredSnapshot): SnapshotItem[][] {
  let items: SnapshotItem[] = [];
  let sizeBytes = 0;
  const parts = [items];
  for (const list of LIST_NAMES) {
    for (const value of state[list] ?? []) {
      const isFull = items.length >= MAX_SNAPSHOT_PART_ITEMS ||
        sizeBytes > MAX_SNAPSHOT_PART_BYTES;
      if (isFull) {
        items = [];
        sizeBytes = 0;
        parts.push(items);
      }
      items.push({ list, value });
      sizeBytes += estimateValueBytes(value);
    }
  }
  return parts;
}

/**
 * Fetches all parts of a snapshot from the leader.
 *
 * @param network - Network on which the leader is called.
 * @param leaderId - The leader.
 * @param offer - The snapshot that the leader offered.
 * @returns The snapshot, or the failure of a call; no part is kept in this case.
 */
export async function fetchSnapshot(
  network: PeerNetwork,
  leaderId: string,
  offer: SnapshotOffer,
): Promise<Result<StoredSnapshot, Failure>> {
  const parts: SnapshotPart[] = [];
  for (let part = 0; part < offer.partCount; part += 1) {
    const reply = await network.call(
      leaderId,
      METHODS.snapshotPart,
      { index: offer.index, part },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    const fetched = reply.andThen((body) =>
      validateWith(snapshotPartSchema, body, { subject: "snapshot part" })
    );
    if (fetched.isErr) {
      return Result.err(fetched.error);
    }
    parts.push(fetched.value);
  }
  return assembleParts(parts);
}

function assembleParts(
  parts: readonly SnapshotPart[],
): Result<StoredSnapshot, Failure> {
  const first = parts[0];
  if (first === undefined) {
    return Result.err(
      createFailure("internal", "the offered snapshot has no parts"),
    );
  }
  const items = parts.flatMap((part) => part.items);
  const select = (list: string) =>
    items.filter((item) => item.list === list).map(({ value }) => value);
  const state: unknown = {
    revision: first.revision,
    newestClaimAtMs: first.newestClaimAtMs,
    membership: first.membership,
    ...Object.fromEntries(LIST_NAMES.map((list) => [list, select(list)])),
  };
  const { index, term } = first;
  // The values need no validation: the leader is authenticated and built the lists
  // from validated commands.
  return Result.ok({ index, term, state: state as FleetSnapshot });
}
