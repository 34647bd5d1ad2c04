/** Files that are replaced as a whole: the old content stays valid until then. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { FileSystem, OpenFile } from "../../ports/index.ts";
import { scanRecords } from "./record_codec.ts";

const TEMPORARY_SUFFIX = ".new";

/** Where a file is replaced. */
export interface DiskOptions {
  readonly files: FileSystem;
  /**
   * Called when a sync has failed. What the disk holds is then unknown, so the
   * process has to end; a second sync could report success for lost data.
   */
  readonly onSyncFailure: (failure: Failure) => void;
}

/**
 * Replaces a file by way of a synced temporary file.
 *
 * @param options - The files, and what to do on a failed sync.
 * @param name - Name of the file.
 * @param bytes - The new content.
 * @returns Nothing, or `readOnly` when the disk is full and nothing changed.
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
 * @returns The record, undefined without a file, or `diskDamaged`.
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
    ? Result.err(createDamagedFailure(name, 0, "holds no whole record"))
    : Result.ok(record.value as T);
}

/**
 * Syncs a file.
 *
 * @param options - What to do on a failed sync.
 * @param file - The open file.
 * @param name - Its name, for the message.
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
 * Creates the failure of a file whose content cannot be right.
 *
 * @param name - Name of the file.
 * @param offset - Where the damage begins, in bytes.
 * @param problem - What is wrong there.
 * @returns The `diskDamaged` failure.
 */
export function createDamagedFailure(
  name: string,
  offset: number,
  problem: string,
): Failure {
  return createFailure(
    "diskDamaged",
    `file ${name} ${problem} at offset ${offset}`,
    {
      path: name,
      remedy:
        "start this entry with an empty data folder; it then rejoins as a learner",
      detail: { file: name, offset },
    },
  );
}

/**
 * Creates the failure of a write that changed nothing.
 *
 * @param name - Name of the file.
 * @param error - What the disk said.
 * @returns The `readOnly` failure.
 */
export function createReadOnlyFailure(name: string, error: unknown): Failure {
  return createFailure("readOnly", `writing ${name} failed: ${String(error)}`, {
    path: name,
    remedy: "free space on the disk of the data folder",
  });
}
