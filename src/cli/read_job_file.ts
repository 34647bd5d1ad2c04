/** Reads a file with a job. */
import { readFile } from "node:fs/promises";
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";

/**
 * Reads a job from a file.
 *
 * @param file - Path of a file with a job as JSON.
 * @returns The job, not validated; `invalidInput` when it cannot be read.
 */
export async function readJobFile(
  file: string,
): Promise<Result<Record<string, unknown>, Failure>> {
  try {
    return Result.ok(JSON.parse(await readFile(file, "utf8")));
  } catch (error) {
    return Result.err(
      createFailure("invalidInput", `--file ${file} cannot be read: ${error}`, {
        remedy: "set it to a file with a job as JSON",
      }),
    );
  }
}
