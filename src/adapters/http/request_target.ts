/** What a request is sent to, and the failures of targets without a route. */
import { createFailure, type Failure } from "../../domain/index.ts";

const BASE = "http://entry";

/**
 * Reads the target of a request. A path that begins with two slashes is a path,
 * not a host.
 *
 * @param target - The target as it was sent: a path or a URL.
 * @returns The URL, or undefined when none can be read.
 */
export function parseTarget(target: string): URL | undefined {
  const url = target.startsWith("/") ? `${BASE}${target}` : target;
  return URL.canParse(url, BASE) ? new URL(url, BASE) : undefined;
}

/**
 * Creates the failure of a request that matches no route.
 *
 * @param method - Its method.
 * @param path - Its path.
 * @param allowed - The methods that have a route for the path.
 * @returns `notFound`, or `methodNotAllowed` where other methods have one.
 */
export function createUnroutedFailure(
  method: string,
  path: string,
  allowed: readonly string[],
): Failure {
  return allowed.length === 0
    ? createFailure("notFound", `no route matches the path ${path}`, {
      remedy: "see docs/API.md",
    })
    : createFailure(
      "methodNotAllowed",
      `the method ${method} is not allowed at ${path}`,
      { remedy: `use ${allowed.join(" or ")}` },
    );
}
