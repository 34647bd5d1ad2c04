/** `npm test`: runs every compiled `_test.js` file and prints one verdict. */
import { readdir } from "node:fs/promises";
import { availableParallelism } from "node:os";
import { join, relative } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { runTestFiles } from "./test_runner.ts";

const DIST_FOLDER = fileURLToPath(new URL("../", import.meta.url));

async function main(): Promise<void> {
  const wanted = process.argv.slice(2);
  const names = await readdir(DIST_FOLDER, { recursive: true });
  const files = names
    .filter((name) => name.endsWith("_test.js"))
    .filter((name) =>
      wanted.length === 0 || wanted.some((part) => name.includes(part))
    )
    .sort()
    .map((name) => join(DIST_FOLDER, name));
  const parallelCount = Math.max(1, Math.floor(availableParallelism() / 2));
  const reports = await runTestFiles(files, parallelCount);
  for (const report of reports) {
    const verdict = report.failedCount === 0 ? "ok  " : "FAIL";
    const name = relative(DIST_FOLDER, report.file);
    process.stdout.write(`${verdict} ${name} (${report.passedCount} cases)\n`);
    if (report.failedCount > 0) {
      process.stdout.write(report.output);
    }
  }
  const passedCount = reports.reduce(
    (sum, report) => sum + report.passedCount,
    0,
  );
  const failedCount = reports.reduce(
    (sum, report) => sum + report.failedCount,
    0,
  );
  process.exitCode = failedCount > 0 || passedCount === 0 ? 1 : 0;
  process.stdout.write(`${passedCount} passed, ${failedCount} failed\n`);
}

await main();
