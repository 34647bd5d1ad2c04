/** Types of the one module of undici that an entry loads. */
declare module "undici/lib/dispatcher/pool.js" {
  export { Pool as default } from "undici";
}
