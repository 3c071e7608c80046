@0xd1c64a3d7a0f0c11;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::rpc::wire");

# The first object of a connection: hands out the interfaces that the process serves, by name.
interface Directory {
  find @0 (name :Text) -> (interface :Capability);
}
