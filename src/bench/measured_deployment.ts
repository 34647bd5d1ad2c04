/** Starts the entries of a measurement, and ends them with it. */
import { type Deployment, startDeployment } from "../stand_ins/index.ts";
import type { MeasurementContext } from "./measurement.ts";

/** What a measurement may choose itself. */
export interface MeasuredDeploymentOptions {
  /** Entries to start; the number of the bench's options without it. */
  readonly entryCount?: number;
  /** Delay between entries one way, in milliseconds. */
  readonly delayMs?: number;
}

/**
 * Starts a deployment that ends with the measurement.
 *
 * @param context - Numbers of entries and voters, and the clean-up.
 * @param options - What differs from the bench's options.
 * @returns The running deployment.
 * @throws Error when an entry does not become ready.
 */
export async function startMeasuredDeployment(
  context: MeasurementContext,
  options: MeasuredDeploymentOptions = {},
): Promise<Deployment> {
  const { cleanup, entryCount, voterCount, random } = context;
  const merged = { entryCount, voterCount, random, ...options };
  context.report(
    `starting ${merged.entryCount} entries, ${voterCount} voters`,
  );
  const deployment = await startDeployment(merged);
  cleanup.add(() => deployment.stop());
  return deployment;
}
