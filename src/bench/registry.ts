/** All measurements, in the order of their value. */
import { FailoverMeasurement } from "./failover.ts";
import { KeysMeasurement } from "./keys.ts";
import { LimitsMeasurement } from "./limits.ts";
import type { Measurement } from "./measurement.ts";
import { OverloadMeasurement } from "./overload.ts";
import { PropagationMeasurement } from "./propagation.ts";
import { ShutdownMeasurement } from "./shutdown.ts";

/** Every measurement that the bench can run. */
export const MEASUREMENTS: readonly Measurement[] = [
  new OverloadMeasurement(),
  new LimitsMeasurement(),
  new PropagationMeasurement(),
  new FailoverMeasurement(),
  new KeysMeasurement(),
  new ShutdownMeasurement(),
];
