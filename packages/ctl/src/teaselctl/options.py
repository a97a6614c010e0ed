"""Flags of the command line."""

from absl import flags

__all__ = ["FLAGS"]

FLAGS = flags.FLAGS

flags.DEFINE_string("router", "", "host:port of any router's operators' port.")
flags.DEFINE_string("key_file", "", "File that holds your key.")
flags.DEFINE_string(
    "ca", "", "File with the routers' certificate authority; turns TLS on."
)
flags.DEFINE_string("certificate", "", "File with your certificate, for TLS.")
flags.DEFINE_string("certificate_key", "", "File with your certificate's key.")
flags.DEFINE_bool("json", False, "Print JSON instead of tables.")
flags.DEFINE_integer("base", None, "Version that your change starts from.", 0)
flags.DEFINE_list("section", [], "Sections to apply; all that the files hold if empty.")
flags.DEFINE_string("note", "", "Reason for the change, shown in the history.")
flags.DEFINE_string(
    "apply_id", "", "Identifies an apply; repeat it if a response was lost."
)
flags.DEFINE_float(
    "seconds", 2.0, "Seconds between the two readings of the status.", 0.0, 60.0
)
flags.DEFINE_integer("limit", 20, "How many entries to list.", 1, 500)
flags.DEFINE_integer("to", None, "Version to go back to.", 1)
flags.DEFINE_string("organisation", "", "Only this organisation.")
flags.DEFINE_string("service", "", "Only this service.")
flags.DEFINE_string("state", "", "Only orders in this state.")
flags.DEFINE_string(
    "after", "", "Where the next page begins; printed at the end of a page."
)
flags.DEFINE_string("html", "", "Write the report to this file, as a page with plots.")
