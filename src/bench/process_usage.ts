/** Reads memory and processor time of a process from `/proc`. */
import { readFile } from "node:fs/promises";

const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1_024;
const MS_PER_SECOND = 1_000;
// Indexes of utime and stime among the fields after the command name in
// /proc/PID/stat.
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Resident memory, in MiB. */
  readonly rssMb: number;
  /** Processor time since the process started, in milliseconds. */
  readonly cpuMs: number;
}

/**
 * Reads the usage of a process.
 *
 * @param pid - Id of the process.
 * @returns Current memory and processor time so far.
 * @throws Error when the process has ended.
 */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const rssKib = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS_INDEX]) +
    Number(fields[SYSTEM_TICKS_INDEX]);
  return {
    rssMb: rssKib / KIB_PER_MIB,
    cpuMs: ticks * MS_PER_SECOND / TICKS_PER_SECOND,
  };
}
