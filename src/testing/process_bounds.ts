/** Checks a child process against bounds for its memory and descriptors. */
import type { ChildProcess } from "node:child_process";
import { readdir, readFile } from "node:fs/promises";
import * as assert from "uvu/assert";

const KIB_PER_MIB = 1_024;

/** Bounds of a process. */
export interface ProcessBounds {
  /** Largest resident memory since the start, in MiB. */
  readonly peakMemoryMib: number;
  /** Open descriptors. */
  readonly descriptorCount: number;
}

/**
 * Checks that a process runs and has stayed within its bounds.
 *
 * @param child - The process.
 * @param bounds - Its bounds.
 * @returns What was measured.
 * @throws Error when the process has ended or exceeds a bound.
 */
export async function checkProcess(
  child: ChildProcess,
  bounds: ProcessBounds,
): Promise<ProcessBounds> {
  const ending = child.signalCode ?? child.exitCode;
  assert.is(ending, null, `the process has ended with ${ending}`);
  const folder = `/proc/${child.pid}`;
  const status = await readFile(`${folder}/status`, "utf8");
  const [, peakKib] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  const peakMemoryMib = Math.ceil(Number(peakKib) / KIB_PER_MIB);
  const descriptorCount = (await readdir(`${folder}/fd`)).length;
  assert.ok(
    peakMemoryMib <= bounds.peakMemoryMib,
    `${peakMemoryMib} MiB were resident; the bound is ${bounds.peakMemoryMib}`,
  );
  assert.ok(
    descriptorCount <= bounds.descriptorCount,
    `${descriptorCount} descriptors; the bound is ${bounds.descriptorCount}`,
  );
  return { peakMemoryMib, descriptorCount };
}
