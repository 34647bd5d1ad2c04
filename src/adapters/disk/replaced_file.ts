/**
 * Replaces files atomically: the old content stays in place until the new
 * content is synced.
 */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { FileSystem, OpenFile } from "../../ports/index.ts";
import { scanRecords } from "./record_codec.ts";

const TEMPORARY_SUFFIX = ".new";

/** Files of a store, and the handler of failed syncs. */
export interface DiskOptions {
  readonly files: FileSystem;
  /**
   * Called when a sync has failed. The content of the disk is then unknown, so
   * the process must exit. Repeating the sync is not safe: it could succeed
   * although the data is lost.
   */
  readonly onSyncFailure: (failure: Failure) => void;
}

/**
 * Replaces a file: writes and syncs a temporary file, then renames it.
 *
 * @param options - The files, and the handler of a failed sync.
 * @param name - Name of the file.
 * @param bytes - The new content.
 * @returns Nothing; `readOnly` when a write failed, for example on a full disk,
 * and the old content is still in place; or `internal` when a sync failed.
 */
export async function replaceFile(
  options: DiskOptions,
  name: string,
  bytes: Uint8Array,
): Promise<Result<void, Failure>> {
  const { files } = options;
  const temporaryName = `${name}${TEMPORARY_SUFFIX}`;
  try {
    await files.remove(temporaryName);
    const file = await files.open(temporaryName);
    try {
      await file.write(bytes, 0);
      const synced = await syncFile(options, file, name);
      if (synced.isErr) {
        return synced;
      }
    } finally {
      await file.close();
    }
    await files.rename(temporaryName, name);
  } catch (error) {
    return Result.err(createReadOnlyFailure(name, error));
  }
  return await syncFolder(options, name);
}

/**
 * Loads a file that holds one record.
 *
 * @param files - The files.
 * @param name - Name of the file.
 * @returns The record, undefined if the file does not exist, or `diskDamaged`.
 */
export async function loadRecord<T>(
  files: FileSystem,
  name: string,
): Promise<Result<T | undefined, Failure>> {
  const bytes = await files.read(name);
  if (bytes === undefined) {
    return Result.ok(undefined);
  }
  const { records } = scanRecords(bytes);
  const record = records[0];
  return record === undefined
    ? Result.err(createDamagedFailure(name, 0, "has no complete record"))
    : Result.ok(record.value as T);
}

/**
 * Syncs a file.
 *
 * @param options - The handler of a failed sync.
 * @param file - The open file.
 * @param name - Name of the file, for the error message.
 * @returns Nothing, or `internal` when the sync failed.
 */
export async function syncFile(
  options: DiskOptions,
  file: OpenFile,
  name: string,
): Promise<Result<void, Failure>> {
  try {
    await file.sync();
    return Result.ok(undefined);
  } catch (error) {
    return reportSyncFailure(options, name, error);
  }
}

async function syncFolder(
  options: DiskOptions,
  name: string,
): Promise<Result<void, Failure>> {
  try {
    await options.files.syncFolder();
    return Result.ok(undefined);
  } catch (error) {
    return reportSyncFailure(options, name, error);
  }
}

function reportSyncFailure(
  options: DiskOptions,
  name: string,
  error: unknown,
): Result<void, Failure> {
  const failure = createFailure(
    "internal",
    `syncing ${name} failed: ${String(error)}`,
    {
      path: name,
      remedy:
        "replace the disk, then start this entry with an empty data folder",
    },
  );
  options.onSyncFailure(failure);
  return Result.err(failure);
}

/**
 * Creates the failure of a damaged or missing file.
 *
 * @param name - Name of the file.
 * @param offset - Where the damage begins, in bytes.
 * @param problem - What is wrong, as the predicate of the error message.
 * @returns The `diskDamaged` failure.
 */
export function createDamagedFailure(
  name: string,
  offset: number,
  problem: string,
): Failure {
  return createFailure(
    "diskDamaged",
    `file ${name} ${problem} (offset ${offset})`,
    {
      path: name,
      remedy:
        "start this entry with an empty data folder; it will rejoin as a learner",
      detail: { file: name, offset },
    },
  );
}

/**
 * Creates the failure of a write that left the old content in place.
 *
 * @param name - Name of the file.
 * @param error - The error of the file system.
 * @returns The `readOnly` failure.
 */
export function createReadOnlyFailure(name: string, error: unknown): Failure {
  return createFailure("readOnly", `writing ${name} failed: ${String(error)}`, {
    path: name,
    remedy: "free space on the disk of the data folder",
  });
}
