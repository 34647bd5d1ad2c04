/** Runs test files, each in a process of its own, and adds up their cases. */
import { execFile } from "node:child_process";
import process from "node:process";

const FILE_TIMEOUT_MS = 180_000;
const MAX_OUTPUT_BYTES = 64 * 1_024 * 1_024;

// How uvu heads the report of a failing case.
const FAILED_CASE = /^ *FAIL +.*? {2}"(.*)"/gm;

/** What one test file did. */
export interface FileReport {
  readonly file: string;
  readonly passedCount: number;
  readonly failedCount: number;
  /** Titles of the failing cases. */
  readonly failedTitles: readonly string[];
  readonly output: string;
}

/**
 * Runs one test file.
 *
 * @param file - Path of the compiled file.
 * @returns Its counts; a file that ran no case, or broke, counts as failed.
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
 * Runs test files side by side.
 *
 * @param files - Paths of the compiled files.
 * @param parallelCount - Files that run at once.
 * @returns A report for each file, in their order.
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
  const needsFailure = failedCount === 0 && (isBroken || totalCount === 0);
  return {
    file,
    passedCount,
    failedCount: needsFailure ? 1 : failedCount,
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
