/** Runs test files, each in its own process, and counts their cases. */
import { execFile } from "node:child_process";
import process from "node:process";

const FILE_TIMEOUT_MS = 180_000;
const MAX_OUTPUT_BYTES = 64 * 1_024 * 1_024;

// Matches the first line of uvu's report of a failing case.
const FAILED_CASE = /^ *FAIL +.*? {2}"(.*)"/gm;

/** Result of one test file. */
export interface FileReport {
  readonly file: string;
  readonly passedCount: number;
  readonly failedCount: number;
  /** Titles of the failing cases. */
  readonly failedTitles: readonly string[];
  /** Standard output followed by standard error. */
  readonly output: string;
}

/**
 * Runs one test file.
 *
 * @param file - Path of the compiled file.
 * @returns Its result; a file that runs no case, or whose process fails or
 * times out, has at least one failure.
 */
export function runTestFile(file: string): Promise<FileReport> {
  return new Promise((resolve) => {
    const options = { timeout: FILE_TIMEOUT_MS, maxBuffer: MAX_OUTPUT_BYTES };
    execFile(process.execPath, [file], options, (error, stdout, stderr) => {
      resolve(createReport(file, `${stdout}${stderr}`, error !== null));
    });
  });
}

/**
 * Runs test files concurrently.
 *
 * @param files - Paths of the compiled files.
 * @param parallelCount - Maximum number of files that run at once.
 * @returns A report for each file, in the order of the files.
 */
export async function runTestFiles(
  files: readonly string[],
  parallelCount: number,
): Promise<FileReport[]> {
  const reports: FileReport[] = [];
  const waiting = files.map((file, at) => ({ file, at }));
  const runNext = async () => {
    for (
      let next = waiting.shift();
      next !== undefined;
      next = waiting.shift()
    ) {
      reports[next.at] = await runTestFile(next.file);
    }
  };
  await Promise.all(Array.from({ length: parallelCount }, runNext));
  return reports;
}

function createReport(
  file: string,
  output: string,
  isBroken: boolean,
): FileReport {
  const totalCount = readCount(output, "Total");
  const passedCount = readCount(output, "Passed");
  const failedCount = totalCount - passedCount;
  const isFileFailure = failedCount === 0 && (isBroken || totalCount === 0);
  return {
    file,
    passedCount,
    failedCount: isFileFailure ? 1 : failedCount,
    failedTitles: [...output.matchAll(FAILED_CASE)].map(([, title = ""]) =>
      title
    ),
    output,
  };
}

function readCount(output: string, label: string): number {
  const matches = [
    ...output.matchAll(new RegExp(`^\\s*${label}:\\s+(\\d+)`, "gm")),
  ];
  return Number(matches.at(-1)?.[1] ?? 0);
}
