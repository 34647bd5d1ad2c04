/**
 * Entry point of `npm test`: runs the compiled `_test.js` files and prints a
 * summary.
 *
 * Arguments select the files whose path contains one of them. Files whose name
 * ends in `_alone_test` run after all others, one at a time.
 */
import { readdir, readFile } from "node:fs/promises";
import { availableParallelism } from "node:os";
import { join, relative } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  type KnownRedCase,
  listKnownTitles,
  parseKnownRed,
} from "./known_red.ts";
import { type FileReport, runTestFiles } from "./test_runner.ts";

const DIST_FOLDER = fileURLToPath(new URL("../", import.meta.url));
const ALONE_ENDING = "_alone_test.js";
const KNOWN_RED_FILE = fileURLToPath(
  new URL("../../KNOWN-RED.txt", import.meta.url),
);

interface FileResult {
  readonly report: FileReport;
  /** Path of the compiled file below `dist`, with the extension `.ts`. */
  readonly name: string;
  /** Titles of the known failures. */
  readonly knownTitles: readonly string[];
  /** Number of failures that are not listed as known. */
  readonly failedCount: number;
}

async function main(): Promise<void> {
  const nameParts = process.argv.slice(2);
  const names = await readdir(DIST_FOLDER, { recursive: true });
  const files = names
    .filter((name) => name.endsWith("_test.js"))
    .filter((name) =>
      nameParts.length === 0 || nameParts.some((part) => name.includes(part))
    )
    .sort()
    .map((name) => join(DIST_FOLDER, name));
  const parallelCount = Math.max(1, Math.floor(availableParallelism() / 2));
  const isAlone = (file: string) => file.endsWith(ALONE_ENDING);
  const reports = [
    ...await runTestFiles(
      files.filter((file) => !isAlone(file)),
      parallelCount,
    ),
    ...await runTestFiles(files.filter(isAlone), 1),
  ];
  const known = parseKnownRed(await readKnownRed());
  const results = reports.map((report) => createFileResult(report, known));
  results.forEach(printFileResult);
  const passedCount = sum(results.map(({ report }) => report.passedCount));
  const failedCount = sum(results.map((result) => result.failedCount));
  process.exitCode = failedCount > 0 || passedCount === 0 ? 1 : 0;
  process.stdout.write(`${passedCount} passed, ${failedCount} failed\n`);
}

function createFileResult(
  report: FileReport,
  known: readonly KnownRedCase[],
): FileResult {
  const name = relative(DIST_FOLDER, report.file).replace(/\.js$/, ".ts");
  const knownTitles = listKnownTitles(name, report.failedTitles, known);
  return {
    report,
    name,
    knownTitles,
    failedCount: report.failedCount - knownTitles.length,
  };
}

function printFileResult(
  { report, name, knownTitles, failedCount }: FileResult,
): void {
  const label = failedCount === 0 ? "ok  " : "FAIL";
  process.stdout.write(`${label} ${name} (${report.passedCount} cases)\n`);
  for (const title of knownTitles) {
    process.stdout.write(`KNOWN-RED ${name} > ${title}\n`);
  }
  if (failedCount > 0) {
    process.stdout.write(report.output);
  }
}

async function readKnownRed(): Promise<string> {
  try {
    return await readFile(KNOWN_RED_FILE, "utf8");
  } catch {
    return "";
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

await main();
