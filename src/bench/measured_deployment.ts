/** Starts the entries of a measurement and stops them when it ends. */
import { type Deployment, startDeployment } from "../stand_ins/index.ts";
import type { MeasurementContext } from "./measurement.ts";

/** Settings that a measurement may override. */
export interface MeasuredDeploymentOptions {
  /** Number of entries; defaults to the number given on the command line. */
  readonly entryCount?: number;
  /** One-way network delay between entries, in milliseconds. */
  readonly delayMs?: number;
}

/**
 * Starts a deployment that is stopped when the measurement ends.
 *
 * @param context - Numbers of entries and voters, random source and clean-up.
 * @param options - Overrides of the settings on the command line.
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
