/** Lists all measurements, the most important first. */
import { FailoverMeasurement } from "./failover.ts";
import { FairnessMeasurement } from "./fairness.ts";
import { FootprintMeasurement } from "./footprint.ts";
import { KeysMeasurement } from "./keys.ts";
import { LimitsMeasurement } from "./limits.ts";
import type { Measurement } from "./measurement.ts";
import { MovesMeasurement } from "./move_policies.ts";
import { OverloadMeasurement } from "./overload.ts";
import { PlacementMeasurement } from "./placement.ts";
import { PropagationMeasurement } from "./propagation.ts";
import { RecoveryMeasurement } from "./recovery.ts";
import { RequestCostMeasurement } from "./request_cost.ts";
import { SchedulingMeasurement } from "./scheduling.ts";
import { SchedulingPoliciesMeasurement } from "./scheduling_policies.ts";
import { ScriptMeasurement } from "./script_measurement.ts";
import { ShutdownMeasurement } from "./shutdown.ts";
import { ZoneOutMeasurement } from "./zone_out.ts";

/** Every measurement that the bench can run. */
export const MEASUREMENTS: readonly Measurement[] = [
  new OverloadMeasurement(),
  new LimitsMeasurement(),
  new ZoneOutMeasurement(),
  new PropagationMeasurement(),
  new FailoverMeasurement(),
  new KeysMeasurement(),
  new ShutdownMeasurement(),
  new RecoveryMeasurement(),
  new FairnessMeasurement(),
  new RequestCostMeasurement(),
  new FootprintMeasurement(),
  new PlacementMeasurement(),
  new SchedulingMeasurement(),
  new SchedulingPoliciesMeasurement(),
  new MovesMeasurement(),
  new ScriptMeasurement({
    name: "replication-acks",
    summary: "commit rules with one slow voter, and traffic of idle entries",
    file: "replication_acks.js",
  }),
  new ScriptMeasurement({
    name: "permit-policies",
    summary: "ways of handing out permits, in simulated time",
    file: "permit_policies.js",
  }),
];
