/** Waits for the end of a job, and reports its progress. */
import { Result } from "true-myth";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Failure } from "../domain/index.ts";
import { type ApiClient, jobResponseSchema } from "./api/index.ts";
import type { CommandOutput } from "./api_command.ts";

/** Pause between two polls, in milliseconds; people do not notice shorter ones. */
const POLL_MS = 300;
const OPEN_STATES: ReadonlySet<string> = new Set(["queued", "running"]);

/** Options of {@link waitForJob}. */
export interface WaitForJobOptions {
  readonly client: Pick<ApiClient, "get">;
  readonly jobId: string;
  /** Called with a line of text whenever the state has changed. */
  readonly onProgress: (line: string) => void;
}

/**
 * Polls a job until it has ended.
 *
 * @param options - The client, the job, and the progress callback.
 * @returns The final state, or the failure of a poll.
 */
export async function waitForJob(
  { client, jobId, onProgress }: WaitForJobOptions,
): Promise<Result<CommandOutput, Failure>> {
  const clock = new SystemClock();
  let lastState: string | undefined;
  for (;;) {
    const response = await client.get(`/v1/jobs/${jobId}`, jobResponseSchema);
    if (response.isErr) {
      return Result.err(response.error);
    }
    const { state } = response.value;
    if (!OPEN_STATES.has(state)) {
      return Result.ok({
        value: response.value,
        text: `job/${jobId} is ${state}\n`,
      });
    }
    if (state !== lastState) {
      lastState = state;
      onProgress(`job/${jobId} is ${state}`);
    }
    await clock.sleep(POLL_MS);
  }
}
