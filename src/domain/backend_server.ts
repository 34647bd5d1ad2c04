/** What backend servers announce of themselves. */
import * as v from "valibot";
import { nameSchema } from "./labels.ts";

/** Header that carries the id of an attempt, and that the answer must echo. */
export const ATTEMPT_ID_HEADER = "cardamomsill-attempt-id";
/** Header that carries how long the attempt may run, in milliseconds. */
export const LEASE_MS_HEADER = "cardamomsill-lease-ms";
/** Header by which a backend server says that it refused before it started. */
export const NOT_STARTED_HEADER = "cardamomsill-not-started";

/** Header with the time that the caller still waits, in milliseconds. */
export const DEADLINE_MS_HEADER = "cardamomsill-deadline-ms";

const MAX_SLOT_COUNT = 1_024;

/** Schema of {@link RunningAttempt}. */
export const runningAttemptSchema = v.object({
  attemptId: v.string(),
  team: v.string(),
});

/** Schema of {@link Announcement}. */
export const announcementSchema = v.strictObject({
  backendServerId: nameSchema,
  /** Grows with every announcement, so that late and doubled ones are dropped. */
  sequence: v.pipe(v.number(), v.integer(), v.minValue(0)),
  vm: nameSchema,
  host: v.pipe(v.string(), v.ip()),
  port: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(65_535)),
  slotCount: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(0),
    v.maxValue(MAX_SLOT_COUNT),
  ),
  connectionCount: v.pipe(v.number(), v.integer(), v.minValue(1)),
  leaving: v.optional(v.boolean(), false),
  running: v.optional(v.array(runningAttemptSchema), []),
});

/** A backend server's announcement of itself. */
export type Announcement = v.InferOutput<typeof announcementSchema>;
/** An attempt that a backend server says it is running. */
export type RunningAttempt = v.InferOutput<typeof runningAttemptSchema>;

/**
 * Computes how many connections each entry may open to a backend server, so
 * that all entries together never open more than it accepts.
 *
 * @param announcement - What the backend server accepts.
 * @param entryCount - Number of entries of the deployment.
 * @returns Connections of one entry, at least 1.
 */
export function computeConnectionsPerEntry(
  { connectionCount }: Announcement,
  entryCount: number,
): number {
  return Math.max(1, Math.floor(connectionCount / entryCount));
}
