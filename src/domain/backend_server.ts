/** Announcements of backend servers, and the headers of attempts. */
import * as v from "valibot";
import { nameSchema } from "./labels.ts";

/** Header with the id of an attempt; the answer must return the same value. */
export const ATTEMPT_ID_HEADER = "cardamomsill-attempt-id";
/** Header with the time that the attempt may run, in milliseconds. */
export const LEASE_MS_HEADER = "cardamomsill-lease-ms";
/** Header that a backend server sets when it refuses work before starting it. */
export const NOT_STARTED_HEADER = "cardamomsill-not-started";
/** Header with the time that the caller will still wait, in milliseconds. */
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
  /**
   * Grows with every announcement, so that receivers drop late and duplicate
   * ones.
   */
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
  /** Connections that the backend server accepts from all entries together. */
  connectionCount: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** Whether the backend server is about to stop and takes no new work. */
  leaving: v.optional(v.boolean(), false),
  running: v.optional(v.array(runningAttemptSchema), []),
});

/** Periodic announcement of a backend server: address, capacity, running work. */
export type Announcement = v.InferOutput<typeof announcementSchema>;
/** An attempt that a backend server reports as running. */
export type RunningAttempt = v.InferOutput<typeof runningAttemptSchema>;

/**
 * Computes how many connections each entry may open to a backend server.
 *
 * The connections are divided evenly, so that all entries together do not open
 * more than the server accepts, unless there are more entries than connections.
 *
 * @param announcement - Announcement with the connections that the server
 * accepts.
 * @param entryCount - Number of entries in the deployment.
 * @returns Connections for each entry, at least 1.
 */
export function computeConnectionsPerEntry(
  { connectionCount }: Announcement,
  entryCount: number,
): number {
  return Math.max(1, Math.floor(connectionCount / entryCount));
}
