"""ebonypick steers callers' requests to backend servers across regions."""
