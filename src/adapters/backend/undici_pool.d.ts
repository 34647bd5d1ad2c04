/** Types of the only module of undici that the backend client imports. */
declare module "undici/lib/dispatcher/pool.js" {
  export { Pool as default } from "undici";
}
